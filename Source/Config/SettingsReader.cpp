#include "Config/SettingsReader.h"

#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

namespace Mangofall {

namespace {

constexpr std::array<EnumName<LogThreshold>, 5> logLevels = {{
    {"trace", LogThreshold::Trace},
    {"debug", LogThreshold::Debug},
    {"info", LogThreshold::Info},
    {"warn", LogThreshold::Warn},
    {"error", LogThreshold::Error},
}};

constexpr std::uint32_t maxTrafficThreads = 256;
constexpr std::uint64_t smallestBodyLimit = 1024;
constexpr std::uint64_t largestBodyLimit = 256ULL * 1024 * 1024;

void readAddress(JsonObjectReader &reader, NetworkAddress &target, const TextRule &rule, std::uint16_t minPort)
{
    reader.text("address", target.address, rule);
    reader.integer<std::uint16_t>("port", target.port, minPort);
}

void readListener(JsonObjectReader &reader, std::string_view name, NetworkAddress &target)
{
    reader.object(name, [&](JsonObjectReader &fields) {
        readAddress(fields, target, ipAddressRule, 0);
    });
}

void readRemoteAddress(JsonObjectReader &reader, std::string_view name, NetworkAddress &target)
{
    reader.object(name, [&](JsonObjectReader &fields) {
        readAddress(fields, target, reachableAddressRule, 1);
    });
}

void readFilePath(JsonObjectReader &reader, std::string_view name, std::filesystem::path &target, Presence presence = Presence::Required)
{
    std::string text = target.string();
    reader.text(name, text, filePathRule, presence);
    target = text;
}

void readLog(JsonObjectReader &reader, LogSettings &log)
{
    reader.choice<LogThreshold>("level", log.level, logLevels, Presence::Optional);
    reader.boolean("json", log.json, Presence::Optional);
}

// The daemon could not open two listeners on the same address and port, and would fail after it started.
void checkListenersAreDistinct(JsonObjectReader &reader, const Settings &settings)
{
    const std::array<std::pair<std::string_view, const NetworkAddress *>, 3> listeners = {{
        {"callerListener", &settings.callerListener},
        {"operatorListener", &settings.operatorListener},
        {"peerListener", &settings.peerListener},
    }};
    for (std::size_t second = 1; second < listeners.size(); ++second) {
        for (std::size_t first = 0; first < second; ++first) {
            const std::uint16_t port = listeners[second].second->port;
            if (port != 0 && *listeners[first].second == *listeners[second].second) {
                reader.addProblem(fieldPath(listeners[second].first, "port"),
                                  std::to_string(port),
                                  "an address and port other than those of " + std::string(listeners[first].first));
            }
        }
    }
}

Settings readSettings(JsonObjectReader &reader)
{
    Settings settings;
    reader.id("hostId", settings.hostId);
    reader.id("dataCentre", settings.dataCentre);
    reader.id("region", settings.region);
    readListener(reader, "callerListener", settings.callerListener);
    readListener(reader, "operatorListener", settings.operatorListener);
    readListener(reader, "peerListener", settings.peerListener);
    reader.text("advertisedAddress", settings.advertisedAddress, reachableAddressRule);
    reader.integer<std::uint32_t>("trafficThreads", settings.trafficThreads, 1, maxTrafficThreads);
    readRemoteAddress(reader, "store", settings.store);
    readRemoteAddress(reader, "hostList", settings.hostList);
    readFilePath(reader, "operatorKeyFile", settings.operatorKeyFile);
    const auto visitLog = [&](JsonObjectReader &fields) {
        readLog(fields, settings.log);
    };
    reader.object("log", visitLog, Presence::Optional);
    std::filesystem::path spansFile;
    readFilePath(reader, "spansFile", spansFile, Presence::Optional);
    if (!spansFile.empty()) {
        settings.spansFile = spansFile;
    }
    const auto visitPeer = [&](JsonObjectReader &fields) {
        readAddress(fields, settings.peers.emplace_back(), reachableAddressRule, 1);
    };
    reader.objects("peers", visitPeer, Presence::Optional);
    reader.integer<std::uint64_t>("maxBodyBytes", settings.maxBodyBytes, smallestBodyLimit, largestBodyLimit, Presence::Optional);
    checkListenersAreDistinct(reader, settings);
    return settings;
}

}

SettingsReader::SettingsReader(std::filesystem::path file)
    : m_file(std::move(file))
{
}

std::optional<Settings> SettingsReader::read()
{
    std::ifstream stream(m_file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (!stream.is_open() || stream.bad()) {
        m_problems = {{{}, "a missing or unreadable file", "a readable settings file"}};
        return std::nullopt;
    }
    return parse(text);
}

std::optional<Settings> SettingsReader::parse(std::string_view text)
{
    m_problems.clear();
    const std::optional<nlohmann::json> document = parseJsonText(text, m_problems);
    if (!document.has_value()) {
        return std::nullopt;
    }
    JsonObjectReader reader(*document, {}, m_problems);
    Settings settings = readSettings(reader);
    reader.refuseUnknownFields();
    if (!m_problems.empty()) {
        addLineNumbers(m_problems, text);
        return std::nullopt;
    }
    return settings;
}

const ConfigurationProblems &SettingsReader::problems() const
{
    return m_problems;
}

std::string SettingsReader::errorText() const
{
    return describe(m_problems, m_file.string());
}

}
