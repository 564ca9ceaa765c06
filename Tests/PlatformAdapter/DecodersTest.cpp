#include "Base64.h"
#include "ConfigurationDecoder.h"
#include "UpstreamDecoder.h"

#include "Property.h"

#include <string>

using namespace Mangofall;
using namespace Mangofall::Platform;

namespace {

const char *configurationText = R"({"version": 7, "unknown": [1],
 "routes": [
  {"name": "r1", "host": "h.example", "path_prefix": "/a/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300, "priority": 1,
   "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}], "max_attempts": 2, "public": false, "resumable": true,
   "gap_aim_ms": 250},
  {"name": "r2", "host": "h.example", "path_prefix": "/b/", "kind": "unsafe", "service": "s2"}],
 "services": [
  {"name": "s1", "cold_per_s": 26.0, "engine": {"slots": 16, "kv_capacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.0009,
   "context_per_k": 0.002, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048}},
  {"name": "s2"}],
 "limits": {"max_header_bytes": 8192, "idle_timeout_ms": 15000},
 "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 3}]})";

}

TEST_GROUP(DecodersTest){};

// Guards against a field of the operator's configuration that is decoded into the wrong member.
TEST(DecodersTest, AConfigurationIsDecodedCompletely)
{
    std::string problem;
    const auto configuration = decodeConfiguration(configurationText, problem);
    CHECK(configuration.has_value());
    LONGS_EQUAL(7, configuration->version);
    LONGS_EQUAL(2, configuration->routes.size());
    const Forwarding::RouteRule &stream = configuration->routes[0];
    CHECK(stream.kind == Forwarding::RequestKind::Stream);
    CHECK(stream.resumable);
    CHECK(stream.target == std::chrono::milliseconds(300));
    CHECK(stream.pauseLimit == std::chrono::milliseconds(250));
    LONGS_EQUAL(2, stream.services.size());
    LONGS_EQUAL(90, stream.services[0].weight);
    CHECK(configuration->routes[1].kind == Forwarding::RequestKind::AtMostOnce);
    LONGS_EQUAL(1, configuration->routes[1].maxRuns);
    LONGS_EQUAL(34, configuration->services[0].engine->stepsPerIteration);
    DOUBLES_EQUAL(154, configuration->services[0].engine->prefillTokensPerMs, 1e-9);
    CHECK_FALSE(configuration->services[1].engine.has_value());
    LONGS_EQUAL(3, *configuration->organisations[0].priority);
    CHECK(configuration->requiresCredentials);
    LONGS_EQUAL(8192, configuration->callerLimits.headerBytes);
}

// Guards against an invalid configuration that replaces the one in force.
TEST(DecodersTest, AnUnreadableConfigurationIsRefusedWithAReason)
{
    std::string problem;
    CHECK_FALSE(decodeConfiguration("{", problem).has_value());
    CHECK_FALSE(decodeConfiguration("[]", problem).has_value());
    CHECK_FALSE(decodeConfiguration(R"({"version": 1, "routes": [{"host": 5}]})", problem).has_value());
    CHECK_FALSE(problem.empty());
}

// Guards against an invalid entry, such as one that another program wrote, being used as an upstream.
TEST(DecodersTest, InvalidEntriesAreNoUpstreams)
{
    const TimePoint now;
    const std::string validEntry = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready","cold_remaining_ms":500,"born":9})";
    const auto upstream = decodeUpstream("u", validEntry, now);
    CHECK(upstream.has_value());
    LONGS_EQUAL(80, upstream->entry.address.port);
    LONGS_EQUAL(9, upstream->entry.startedAt);
    CHECK(upstream->entry.coldUntil == now + std::chrono::milliseconds(500));
    CHECK_FALSE(upstream->leaving);
    CHECK(decodeUpstream("u", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"draining"})", now)->leaving);
    for (const char *invalidEntry : {"",
                                     "\xff\xfe",
                                     "[]",
                                     R"({"service":"s"})",
                                     R"({"service":5,"address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready"})",
                                     R"({"service":"s","address":"10.0.0.1","zone":"z","slots":16,"state":"ready"})",
                                     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"16","state":"ready"})",
                                     R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"odd"})",
                                     R"({"service":"s","address":"10.0.0.1:99999","zone":"z","slots":16,"state":"ready"})"}) {
        CHECK_FALSE_TEXT(decodeUpstream("u", invalidEntry, now).has_value(), invalidEntry);
    }
}

// Guards against values of the store that base64 encoding and decoding change.
TEST(DecodersTest, AnyBytesAreUnchangedByBase64)
{
    Mangofall::Testing::checkProperty("decode(encode(x)) == x", [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    });
    CHECK_FALSE(decodeBase64("a").has_value());
    CHECK_FALSE(decodeBase64("####").has_value());
}
