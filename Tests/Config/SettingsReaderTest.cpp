#include "Property.h"

#include "Config/JsonText.h"
#include "Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <set>

using namespace Mangofall;
using nlohmann::json;

namespace {

const char *const validSettings = R"({
  // A host in the first data centre.
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

struct InvalidSetting {
    const char *pointer; ///< JSON pointer of the field to set.
    json value; ///< Null removes the field.
    const char *path; ///< Expected path of the problem.
    const char *found; ///< Expected part of the problem's found value.
    const char *allowed; ///< Expected part of the problem's allowed values.
};

const std::vector<InvalidSetting> &invalidSettings()
{
    static const std::vector<InvalidSetting> table = {
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

json validDocument()
{
    return json::parse(validSettings, nullptr, true, true);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_GROUP(SettingsReaderTest){};

// Guards against a field that is not read, or that is stored in the wrong member.
TEST(SettingsReaderTest, ReadsEveryField)
{
    SettingsReader reader("host.json");
    const std::optional<Settings> settings = reader.parse(validSettings);
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

// Guards against an invalid setting that is accepted, or refused with a message that does not name the field, its value and the valid values.
TEST(SettingsReaderTest, NamesFieldFoundAndAllowedOfEachBadSetting)
{
    for (const InvalidSetting &invalid : invalidSettings()) {
        json document = validDocument();
        const json::json_pointer pointer(invalid.pointer);
        if (invalid.value.is_null()) {
            document.at(pointer.parent_pointer()).erase(pointer.back());
        } else {
            document[pointer] = invalid.value;
        }
        SettingsReader reader("host.json");
        CHECK_TEXT(!reader.parse(document.dump(2)).has_value(), invalid.pointer);
        CHECK_TEXT(reader.problems().size() == 1, reader.errorText().c_str());
        const ConfigurationProblem &problem = reader.problems().front();
        STRCMP_EQUAL(invalid.path, problem.path.c_str());
        CHECK_TEXT(contains(problem.found, invalid.found), reader.errorText().c_str());
        CHECK_TEXT(contains(problem.allowed, invalid.allowed), reader.errorText().c_str());
        CHECK_TEXT(problem.line >= 1 && contains(reader.errorText(), "host.json:" + std::to_string(problem.line) + ": "), reader.errorText().c_str());
    }
}

// Guards against a wrong line number, also after comments and for a number that ends its line.
TEST(SettingsReaderTest, ReportsTheLineNumber)
{
    std::string text = validSettings;
    text.replace(text.find("\"trafficThreads\": 4"), 19, "\"trafficThreads\": 0");
    SettingsReader reader("host.json");
    CHECK_FALSE(reader.parse(text).has_value());
    STRCMP_EQUAL("host.json:10: trafficThreads: found 0, allowed: a whole number from 1 to 256", reader.errorText().c_str());
    const std::map<std::string, int> lines = jsonLineNumbers("[1\n,\n2\n]");
    LONGS_EQUAL(1, lines.at("[0]"));
    LONGS_EQUAL(3, lines.at("[1]"));
}

// Guards against accepting text that is not JSON or has a duplicate field, and against a stack overflow on deeply nested text.
TEST(SettingsReaderTest, RefusesMalformedText)
{
    const std::string deeplyNested = std::string(100'000, '[');
    for (const std::string &text :
         {std::string(), std::string("{"), std::string("[]"), std::string("{} x"), std::string("{\"hostId\": \"a\", \"hostId\": \"b\"}"), deeplyNested}) {
        SettingsReader reader("host.json");
        CHECK_TEXT(!reader.parse(text).has_value(), text.substr(0, 40).c_str());
        CHECK_TEXT(!reader.problems().empty() && reader.problems().front().line == 1, text.substr(0, 40).c_str());
    }
    SettingsReader missingFileReader("absent-settings.json");
    CHECK_FALSE(missingFileReader.read().has_value());
    CHECK(contains(missingFileReader.errorText(), "absent-settings.json: "));
}
