#include "Base64.h"
#include "ConfigurationDecoder.h"
#include "HostEntry.h"
#include "SuspectQueue.h"
#include "UpstreamDecoder.h"

#include <nlohmann/json.hpp>

#include "Property.h"

#include <iterator>
#include <string>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Platform;
using nlohmann::json;

namespace {

const char *configurationText = R"({"version": 7, "unknown": [1],
 "routes": [
  {"name": "r1", "host": "h.example", "path_prefix": "/a/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300, "priority": 1,
   "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}], "max_attempts": 2, "public": false, "resumable": true,
   "gap_aim_ms": 250},
  {"name": "r2", "host": "h.example", "path_prefix": "/b/", "kind": "unsafe", "service": "s2"}],
 "services": [
  {"name": "s1", "cold_per_s": 26.0, "engine": {"slots": 16, "kv_capacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.0009,
   "context_per_k": 0.002, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
   "delays": [{"from": "a", "target_version": "b", "delay_ms": 2.5}, {"from": "a", "target_version": "c", "delay_ms": -1}, {"from": 3}]}},
  {"name": "s2"}],
 "limits": {"max_header_bytes": 8192, "idle_timeout_ms": 15000},
 "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 3}]})";

json validEntry()
{
    return json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":500,
                           "sequence":4,"born":9})");
}

// The valid entry with another value of a field, as text.
std::string with(const std::string &field, const json &value)
{
    json entry = validEntry();
    entry[field] = value;
    return entry.dump();
}

std::string without(const std::string &field)
{
    json entry = validEntry();
    entry.erase(field);
    return entry.dump();
}

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
    LONGS_EQUAL(1, configuration->services[0].delays.size());
    const Duration delay = Placement::delayBetween(configuration->services[1].delays, DataCentreId("b"), DataCentreId("a"));
    CHECK(delay == std::chrono::microseconds(2500));
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

// Guards against a valid entry that is not used, or used with other values.
TEST(DecodersTest, AnEntryIsDecodedCompletely)
{
    const TimePoint now;
    const auto upstream = decodeUpstream("u", validEntry().dump(), now);
    CHECK(upstream.has_value());
    LONGS_EQUAL(80, upstream->entry.address.port);
    LONGS_EQUAL(9, upstream->entry.startedAt);
    LONGS_EQUAL(16, upstream->entry.slots);
    CHECK(upstream->entry.coldUntil == now + std::chrono::milliseconds(500));
    CHECK_FALSE(upstream->leaving);
    CHECK(decodeUpstream("u", with("state", "draining"), now)->leaving);
    CHECK(decodeUpstream("u", with("cold_remaining_ms", 12.5), now).has_value());
    CHECK(decodeUpstream("u", without("born"), now).has_value());
}

// Guards against an entry of another writer that is used as an upstream, or brings back one that has left.
TEST(DecodersTest, IncompleteAndOddEntriesAreNoUpstreams)
{
    for (const char *name : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"}) {
        CHECK_FALSE_TEXT(decodeUpstream("u", without(name), TimePoint()).has_value(), name);
        for (const json &value : {json(), json(true), json::array(), json::object(), json(-1), json("")}) {
            const bool isText = value.is_string() && (std::string(name) == "service" || std::string(name) == "zone" || std::string(name) == "version");
            CHECK_EQUAL_TEXT(isText, decodeUpstream("u", with(name, value), TimePoint()).has_value(), with(name, value).c_str());
        }
    }
    const std::vector<std::string> odd{"",
                                       "\xff\xfe",
                                       "[]",
                                       "{}",
                                       with("service", "\x01").substr(0, 10),
                                       with("address", "10.0.0.1"),
                                       with("address", "10.0.0.1:0"),
                                       with("address", "10.0.0.1:65536"),
                                       with("address", "10.0.0.1:99999999999999999999"),
                                       with("address", "10.0.0.1:-1"),
                                       with("address", "no address:80"),
                                       with("address", "10.0.0.1.5:80"),
                                       with("slots", "16"),
                                       with("slots", 0),
                                       with("slots", 1.5),
                                       with("slots", 1e300),
                                       with("slots", 4294967296ULL),
                                       with("state", "odd"),
                                       with("cold_remaining_ms", 1e19),
                                       with("cold_remaining_ms", 1e300),
                                       with("cold_remaining_ms", 18446744073709551615ULL),
                                       with("sequence", 1e30),
                                       with("born", 1.5),
                                       with("born", "9"),
                                       with("born", -1)};
    for (const std::string &entry : odd) {
        CHECK_FALSE_TEXT(decodeUpstream("u", entry, TimePoint()).has_value(), entry.c_str());
    }
    CHECK_FALSE(decodeUpstream("", validEntry().dump(), TimePoint()).has_value());
}

// Guards against hosts that stop on purpose and are taken for hosts that lost the store, and the reverse.
TEST(DecodersTest, AnEntryTellsWhetherItsHostLeaves)
{
    HostEntry entry;
    entry.address = {"127.0.0.1", 7340};
    entry.start = 5;
    CHECK_FALSE(decodeHostEntry(encodeHostEntry(entry))->leaving);
    entry.leaving = true;
    CHECK(decodeHostEntry(encodeHostEntry(entry))->leaving);
    LONGS_EQUAL(5, decodeHostEntry(encodeHostEntry(entry))->start);
}

// Guards against a value, nested as deeply as the store allows, that takes the memory or the stack of each host that reads it.
TEST(DecodersTest, DeeplyNestedValuesAreRefused)
{
    constexpr std::size_t valueBytes = 1024UL * 1024;
    std::string objects;
    while (objects.size() < valueBytes) {
        objects += R"({"a":)";
    }
    std::string problem;
    for (const std::string &text : {std::string(valueBytes, '['), objects, with("extra", json::parse(std::string(100, '[') + std::string(100, ']')))}) {
        CHECK_FALSE(decodeUpstream("u", text, TimePoint()).has_value());
        CHECK_FALSE(decodeHostEntry(text).has_value());
        CHECK_FALSE(decodeSuspect("0000000000000007", text).has_value());
        CHECK_FALSE(decodeConfiguration(text, problem).has_value());
    }
    const std::string bracketsInText = with("version", std::string(1000, '[') + "\"" + std::string(1000, '{'));
    CHECK(decodeUpstream("u", bracketsInText, TimePoint()).has_value());
}

// Guards against an entry, changed at any place, that throws or yields values which no later calculation can use.
TEST(DecodersTest, AnyChangeOfAnEntryIsDecodedOrRefused)
{
    const std::vector<json> values{json(), json(true), json(-1), json(1e19), json(1e300), json(-1e300), json(0.5), json(18446744073709551615ULL), json("x")};
    Mangofall::Testing::checkProperty(
        "a changed entry is decoded within its limits or refused", [&](std::vector<std::uint8_t> bytes, std::uint8_t place, std::uint8_t value) {
            json document = validEntry();
            auto field = document.begin();
            std::advance(field, place % document.size());
            *field = values[value % values.size()];
            std::string text = document.dump();
            for (std::size_t index = 0; index + 1 < bytes.size(); index += 2) {
                text[bytes[index] % text.size()] = static_cast<char>(bytes[index + 1]);
            }
            const TimePoint now = std::chrono::steady_clock::now();
            const auto upstream = decodeUpstream("u", text, now);
            RC_ASSERT(!upstream || (upstream->entry.coldUntil >= now && upstream->entry.coldUntil <= now + std::chrono::hours(24 * 366)));
            RC_ASSERT(!upstream || (upstream->entry.slots > 0 && upstream->entry.address.port > 0));
            decodeHostEntry(text);
            decodeSuspect("0000000000000007", text);
        });
}

// Guards against numbers of a configuration that wrap round, are negative after a conversion, or differ between kinds of processors.
TEST(DecodersTest, NumbersOfAConfigurationAreLimited)
{
    std::string problem;
    for (const char *number : {"1e19", "1e300", "18446744073709551615", "4294967296"}) {
        std::string text = configurationText;
        for (const char *field :
             {"\"timeout_ms\": 10000", "\"gap_aim_ms\": 250", "\"weight\": 90", "\"max_attempts\": 2", "\"read_per_s\": 154000.0", "\"cold_per_s\": 26.0"}) {
            const std::string name = std::string(field).substr(0, std::string(field).find(':') + 1);
            text.replace(text.find(field), std::string(field).size(), name + number);
        }
        const auto configuration = decodeConfiguration(text, problem);
        CHECK_TEXT(configuration.has_value(), number);
        const Forwarding::RouteRule &route = configuration->routes[0];
        CHECK_TEXT(route.timeout > Duration::zero() && route.timeout <= std::chrono::hours(24 * 365), number);
        CHECK_TEXT(route.pauseLimit >= Duration::zero(), number);
        CHECK_TEXT(route.services[0].weight >= 1'000'000, number);
        CHECK_TEXT(route.maxRuns > 2, number);
        CHECK_TEXT(configuration->services[0].coldRequestsPerSecond <= 1e9, number);
        CHECK_TEXT(configuration->services[0].engine->prefillTokensPerMs <= 1e6, number);
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
