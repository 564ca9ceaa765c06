#include "Deployment.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Review {

using nlohmann::json;

json settingsFields(const Machine &machine, std::uint16_t callerPort, std::uint16_t readyPort, std::uint16_t storePort)
{
    json fields = json::object();
    fields["node"] = machine.node;
    fields["zone"] = machine.zone;
    fields["region"] = "sul";
    fields["ip"] = machine.address;
    fields["internal_ports"] = {7340, 7355};
    fields["listen"]["front"] = machine.address + ":" + std::to_string(callerPort);
    fields["listen"]["ready"] = machine.address + ":" + std::to_string(readyPort);
    fields["provider"]["address"] = "127.0.0.1:" + std::to_string(storePort);
    fields["limits"] = {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}};
    fields["bounds"] = {{"contact_ms", contactTime.count()},
                        {"drain_ms", drainTime.count()},
                        {"grace_s", 8},
                        {"config_ms", 2000},
                        {"evacuate_ms", 5000},
                        {"retry_budget_ratio", 0.2},
                        {"retry_budget_slack", 106}};
    return fields;
}

json route(const std::string &name, const char *kind, const char *service, std::chrono::milliseconds timeout, std::chrono::milliseconds target)
{
    json result = json::object();
    result["name"] = "r-" + name;
    result["host"] = hostName;
    result["path_prefix"] = "/" + name + "/";
    result["kind"] = kind;
    result["timeout_ms"] = timeout.count();
    result["target_latency_ms"] = target.count();
    result["priority"] = 1;
    result["service"] = service;
    result["max_attempts"] = std::string(kind) == "unsafe" ? 1 : 2;
    result["public"] = false;
    return result;
}

json streamRoute(const std::string &name, const char *service, std::chrono::milliseconds timeout, std::chrono::milliseconds target)
{
    constexpr int longestPauseMs = 600;
    json result = route(name, "streaming", service, timeout, target);
    result["sticky"] = true;
    result["resumable"] = true;
    result["gap_aim_ms"] = longestPauseMs;
    return result;
}

json plainService(const char *name)
{
    json service = json::object();
    service["name"] = name;
    service["health_path"] = "/health";
    service["max_connections"] = 110;
    service["cold_start_s"] = 0.0;
    service["cold_per_s"] = 0.0;
    return service;
}

json engineService(const char *name, unsigned slots)
{
    json service = json::object();
    service["name"] = name;
    service["health_path"] = "/health";
    service["max_connections"] = 314;
    service["cold_start_s"] = 3.0;
    service["cold_per_s"] = 26.0;
    service["engine"] = {{"slots", slots},
                         {"kv_capacity", 405000},
                         {"stride", 34},
                         {"step_ms", 1.31},
                         {"per_seq_ms", 0.000917},
                         {"context_per_k", 0.00213},
                         {"read_per_s", 154000.0},
                         {"pairs_per_m", 0.162},
                         {"chunk", 2048},
                         {"report_lag_ms", 200.0},
                         {"usual", {{"prompt", 11316}, {"answer", 1266}}},
                         {"hop_ms", 0.1}};
    return service;
}

json configuration(const json &routes, const json &services)
{
    json result = json::object();
    result["version"] = 7;
    result["routes"] = routes;
    result["services"] = services;
    result["limits"] = {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    result["tenants"] = json::array({{{"name", tenant}, {"api_keys", json::array({apiKey})}, {"priority", 1}}});
    return result;
}

}
