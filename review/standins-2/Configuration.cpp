#include "Configuration.h"

namespace Review {

using nlohmann::json;

json exampleConfiguration()
{
    json engine = {{"slots", 16},
                   {"kv_capacity", 405000},
                   {"kv_token_bytes", 163840},
                   {"link_mbps", 400000.0},
                   {"stride", 34},
                   {"models", json::array({{{"name", "m"}}})},
                   {"step_ms", 1.31},
                   {"per_seq_ms", 0.000917},
                   {"context_per_k", 0.00213},
                   {"read_per_s", 154000.0},
                   {"pairs_per_m", 0.162},
                   {"chunk", 2048},
                   {"report_lag_ms", 200.0},
                   {"delays", json::array()},
                   {"usual", {{"prompt", 11316}, {"answer", 1266}}},
                   {"hop_ms", 0.1}};
    json model = {{"name", Names::modelService},
                  {"health_path", "/health"},
                  {"max_connections", 314},
                  {"protocol", "h1"},
                  {"tls", false},
                  {"cold_start_s", 3.0},
                  {"cold_per_s", 26.0},
                  {"engine", engine}};
    json plain = {{"name", Names::plainService},
                  {"health_path", "/health"},
                  {"max_connections", 314},
                  {"protocol", "h1"},
                  {"tls", false},
                  {"cold_start_s", 0.0},
                  {"cold_per_s", 0.0}};
    json configuration = json::object();
    configuration["version"] = 7;
    configuration["routes"] = json::array();
    configuration["services"] = json::array({model, plain});
    configuration["limits"] = {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    configuration["tenants"] = json::array({{{"name", Names::tenant}, {"api_keys", json::array({Names::key})}, {"priority", 1}}});
    return configuration;
}

}
