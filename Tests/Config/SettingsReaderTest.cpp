#include "Property.h"

#include "Config/JsonText.h"
#include "Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <set>

using namespace Mangofall;
using nlohmann::json;

namespace {

const char *const goodSettings = R"({
  // A host of the kiosks' first data centre.
  "hostId": "poa-entry-1",
  "dataCentre": "poa",
  "region": "sul",
  "callerListener": {"address": "0.0.0.0", "port": 8080},
  "operatorListener": {"address": "127.0.0.1", "port": 8081},
  "peerListener": {"address": "::", "port": 8082},
  "advertisedAddress": "10.0.0.1",
  "trafficThreads": 4,
  "store": {"address": "10.0.0.9", "port": 4001},
  "hostList": {"address": "10.0.0.9", "port": 4002},
  "operatorKeyFile": "/etc/mangofall/operator.key",
  "log": {"level": "warn", "json": true},
  "spansFile": "/var/log/mangofall/spans.json", /* optional */
  "peers": [{"address": "10.0.0.2", "port": 8082}, {"address": "10.0.0.3", "port": 8082}],
  "maxBodyBytes": 8000000
})";

struct BadSetting {
    const char *pointer; ///< JSON pointer of the field to set.
    json value; ///< Null removes the field.
    const char *path; ///< Expected path in the message.
    const char *found;
    const char *allowed;
};

const std::vector<BadSetting> &badSettings()
{
    static const std::vector<BadSetting> table = {
        {"/hostId", nullptr, "hostId", "nothing", "required"},
        {"/hostId", "", "hostId", "\"\"", "1 to 128"},
        {"/hostId", "a/b", "hostId", "\"a/b\"", "letters"},
        {"/hostId", 7, "hostId", "7", "letters"},
        {"/dataCentre", std::string(129, 'x'), "dataCentre", "\"xxx", "1 to 128"},
        {"/region", json::array(), "region", "an array", "letters"},
        {"/callerListener", "0.0.0.0:8080", "callerListener", "\"0.0.0.0:8080\"", "an object"},
        {"/callerListener/address", "localhost", "callerListener.address", "\"localhost\"", "numeric IPv4"},
        {"/callerListener/port", 65536, "callerListener.port", "65536", "0 to 65535"},
        {"/callerListener/port", "8080", "callerListener.port", "\"8080\"", "whole number"},
        {"/operatorListener/port", -1, "operatorListener.port", "-1", "0 to 65535"},
        {"/operatorListener/port", 80.5, "operatorListener.port", "80.5", "whole number"},
        {"/operatorListener", json{{"address", "0.0.0.0"}, {"port", 8080}}, "operatorListener.port", "8080", "other than those of callerListener"},
        {"/peerListener/host", "x", "peerListener.host", "an unknown field", "address, port"},
        {"/advertisedAddress", "0.0.0.0", "advertisedAddress", "\"0.0.0.0\"", "unspecified"},
        {"/advertisedAddress", "10.0.0.256", "advertisedAddress", "\"10.0.0.256\"", "numeric IPv4"},
        {"/trafficThreads", 0, "trafficThreads", "0", "1 to 256"},
        {"/trafficThreads", 257, "trafficThreads", "257", "1 to 256"},
        {"/store/port", 0, "store.port", "0", "1 to 65535"},
        {"/store/address", nullptr, "store.address", "nothing", "required"},
        {"/hostList", nullptr, "hostList", "nothing", "required"},
        {"/operatorKeyFile", "", "operatorKeyFile", "\"\"", "path of a file"},
        {"/log/level", "verbose", "log.level", "\"verbose\"", "trace, debug, info, warn, error"},
        {"/log/json", "yes", "log.json", "\"yes\"", "true or false"},
        {"/spansFile", false, "spansFile", "false", "path of a file"},
        {"/peers", json::object(), "peers", "an object", "an array"},
        {"/peers/1/port", 0, "peers[1].port", "0", "1 to 65535"},
        {"/peers/0", "10.0.0.2:8082", "peers[0]", "\"10.0.0.2:8082\"", "an object"},
        {"/maxBodyBytes", 100, "maxBodyBytes", "100", "1024 to"},
        {"/threads", 4, "threads", "an unknown field", "trafficThreads"},
    };
    return table;
}

json goodDocument()
{
    return json::parse(goodSettings, nullptr, true, true);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_GROUP(SettingsReaderTest){};

// Guards against a field that is read into another field's place or not at all.
TEST(SettingsReaderTest, ReadsEveryField)
{
    SettingsReader reader("host.json");
    const std::optional<Settings> settings = reader.parse(goodSettings);
    CHECK_TEXT(settings.has_value(), reader.errorText().c_str());
    Settings expected;
    expected.hostId = HostId("poa-entry-1");
    expected.dataCentre = DataCentreId("poa");
    expected.region = RegionId("sul");
    expected.callerListener = {"0.0.0.0", 8080};
    expected.operatorListener = {"127.0.0.1", 8081};
    expected.peerListener = {"::", 8082};
    expected.advertisedAddress = "10.0.0.1";
    expected.trafficThreads = 4;
    expected.store = {"10.0.0.9", 4001};
    expected.hostList = {"10.0.0.9", 4002};
    expected.operatorKeyFile = "/etc/mangofall/operator.key";
    expected.log = {LogThreshold::Warn, true};
    expected.spansFile = "/var/log/mangofall/spans.json";
    expected.peers = {{"10.0.0.2", 8082}, {"10.0.0.3", 8082}};
    expected.maxBodyBytes = 8'000'000;
    CHECK(*settings == expected);
}

// Guards against a wrong setting that is accepted, or refused with a message that does not lead to the fault.
TEST(SettingsReaderTest, NamesFieldFoundAndAllowedOfEachBadSetting)
{
    for (const BadSetting &bad : badSettings()) {
        json document = goodDocument();
        const json::json_pointer pointer(bad.pointer);
        if (bad.value.is_null()) {
            document.at(pointer.parent_pointer()).erase(pointer.back());
        } else {
            document[pointer] = bad.value;
        }
        SettingsReader reader("host.json");
        CHECK_TEXT(!reader.parse(document.dump(2)).has_value(), bad.pointer);
        CHECK_TEXT(reader.problems().size() == 1, reader.errorText().c_str());
        const ConfigurationProblem &problem = reader.problems().front();
        STRCMP_EQUAL(bad.path, problem.path.c_str());
        CHECK_TEXT(contains(problem.found, bad.found), reader.errorText().c_str());
        CHECK_TEXT(contains(problem.allowed, bad.allowed), reader.errorText().c_str());
        CHECK_TEXT(problem.line >= 1 && contains(reader.errorText(), "host.json:" + std::to_string(problem.line) + ": "), reader.errorText().c_str());
    }
}

// Guards against a line number that points elsewhere, also after comments and for the last number of a line.
TEST(SettingsReaderTest, NamesTheLine)
{
    std::string text = goodSettings;
    text.replace(text.find("\"trafficThreads\": 4"), 19, "\"trafficThreads\": 0");
    SettingsReader reader("host.json");
    CHECK_FALSE(reader.parse(text).has_value());
    STRCMP_EQUAL("host.json:10: trafficThreads: found 0, allowed: a whole number from 1 to 256", reader.errorText().c_str());
    const std::map<std::string, int> lines = jsonLineNumbers("[1\n,\n2\n]");
    LONGS_EQUAL(1, lines.at("[0]"));
    LONGS_EQUAL(3, lines.at("[1]"));
}

// Guards against text that is not JSON, has a field twice or nests so deep that the stack overflows.
TEST(SettingsReaderTest, RefusesMalformedText)
{
    const std::string deep = std::string(100'000, '[');
    for (const std::string &text :
         {std::string(), std::string("{"), std::string("[]"), std::string("{} x"), std::string("{\"hostId\": \"a\", \"hostId\": \"b\"}"), deep}) {
        SettingsReader reader("host.json");
        CHECK_TEXT(!reader.parse(text).has_value(), text.substr(0, 40).c_str());
        CHECK_TEXT(!reader.problems().empty() && reader.problems().front().line == 1, text.substr(0, 40).c_str());
    }
    SettingsReader absent("absent-settings.json");
    CHECK_FALSE(absent.read().has_value());
    CHECK(contains(absent.errorText(), "absent-settings.json: "));
}
