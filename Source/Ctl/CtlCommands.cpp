#include "Ctl/CtlCommands.h"

#include "Ctl/CheckCommand.h"
#include "Ctl/LogExplainer.h"

#include "Config/ChangeAnswer.h"
#include "Config/FleetJson.h"
#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/OperatorLists.h"
#include "Config/OperatorStatus.h"
#include "Config/SecretFile.h"
#include "Config/SpecJson.h"
#include "Config/TextRule.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>
#include <utility>

namespace Mangofall {

namespace {

using namespace std::chrono_literals;

// Longer than the daemon takes to answer a change.
constexpr Duration requestTimeout = 60s;
constexpr Duration pollInterval = 200ms;

ChangeId newChangeId()
{
    std::random_device device;
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "ctl-%08x%08x%08x%08x", device(), device(), device(), device());
    return ChangeId(text.data());
}

std::string timeText(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &fields);
    return text.data();
}

bool isLive(const OperatorHostStatus &host)
{
    return host.state == "alive";
}

void printStatus(const OperatorStatus &status, std::ostream &output)
{
    output << "host " << status.hostId << ", revision " << status.revision << ", preset " << status.presetInForce
           << (status.admitting ? ", admitting" : ", not admitting") << '\n';
    for (const DataCentreId &id : status.outOfService.dataCentres) {
        output << "out of service: data centre " << id << '\n';
    }
    for (const HostId &id : status.outOfService.hosts) {
        output << "out of service: host " << id << '\n';
    }
    for (const UpstreamId &id : status.outOfService.upstreams) {
        output << "out of service: upstream " << id << '\n';
    }
    for (const OperatorHostStatus &host : status.hosts) {
        output << "host " << host.id << "  " << host.dataCentre << "  " << host.state << "  revision " << host.revision << '\n';
    }
    for (const OperatorUpstreamStatus &upstream : status.upstreams) {
        output << "upstream " << upstream.id << "  " << upstream.dataCentre << "  " << upstream.state << "  " << upstream.inFlight << " of " << upstream.cap
               << '\n';
    }
}

}

CtlCommands::CtlCommands(CtlOptions options, OperatorClient client, std::ostream &output, std::ostream &errors)
    : m_options(std::move(options))
    , m_client(std::move(client))
    , m_output(output)
    , m_errors(errors)
{
}

CtlStatus CtlCommands::run()
{
    const std::vector<std::string> &words = m_options.words;
    const auto matches = [&](std::initializer_list<const char *> command, std::size_t arguments) {
        return words.size() == command.size() + arguments && std::equal(command.begin(), command.end(), words.begin());
    };
    if (matches({"status"}, 0)) {
        return status();
    }
    if (matches({"preset", "list"}, 0)) {
        return presets({});
    }
    if (matches({"preset", "show"}, 1)) {
        return presets(words[2]);
    }
    if (matches({"preset", "put"}, 1)) {
        return putPreset(words[2]);
    }
    if (matches({"preset", "use"}, 1)) {
        return identifierRule.accepts(words[2]) ? sendChange(UsePreset{PresetName(words[2])})
                                                : reportUsageError("\"" + words[2] + "\" is not a valid preset name");
    }
    if (matches({"drain"}, 2) || matches({"restore"}, 2)) {
        return drainOrRestore(words[0] == "drain", words[1], words[2]);
    }
    if (matches({"apply"}, 1)) {
        return applyFleetFile(words[1]);
    }
    if (matches({"orders", "list"}, 0)) {
        return orders("/operator/orders", {});
    }
    if (matches({"orders", "show"}, 1)) {
        return orders("/operator/orders", words[2]);
    }
    if (matches({"orders", "unresolved"}, 0)) {
        return orders("/operator/orders?state=unresolved", {});
    }
    if (matches({"limits"}, 0)) {
        return limits();
    }
    if (matches({"config", "history"}, 0)) {
        return history();
    }
    return reportUsageError("unknown command or wrong number of arguments; see mangofallctl --help");
}

CtlStatus CtlCommands::reportUsageError(const std::string &message)
{
    m_errors << "mangofallctl: " << message << '\n';
    return CtlStatus::UsageError;
}

CtlStatus CtlCommands::fail(const std::string &message)
{
    m_errors << "mangofallctl: " << message << '\n';
    return CtlStatus::Failure;
}

std::optional<std::string> CtlCommands::fetch(const std::string &target)
{
    const HttpCallResult result = m_client.get(target);
    if (!result.response.has_value()) {
        fail("no response from " + m_options.server.address + ":" + std::to_string(m_options.server.port));
        return std::nullopt;
    }
    if (result.response->result_int() != 200) {
        fail("the daemon answered " + std::to_string(result.response->result_int()) + ": " + result.response->body());
        return std::nullopt;
    }
    return result.response->body();
}

std::optional<std::string> CtlCommands::readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (!stream.is_open() || stream.bad()) {
        fail(file + " cannot be read");
        return std::nullopt;
    }
    return text;
}

CtlStatus CtlCommands::status()
{
    const std::optional<std::string> body = fetch("/operator/status");
    if (!body.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    const std::optional<OperatorStatus> decoded = decodeOperatorStatus(*body, problems);
    if (!decoded.has_value()) {
        return fail("malformed answer: " + describe(problems));
    }
    if (m_options.json) {
        m_output << *body << '\n';
    } else {
        printStatus(*decoded, m_output);
    }
    return CtlStatus::Success;
}

CtlStatus CtlCommands::presets(const std::string &name)
{
    const std::optional<std::string> body = fetch("/operator/configuration");
    if (!body.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    const std::optional<FleetConfiguration> configuration = decodeFleetConfiguration(*body, problems);
    if (!configuration.has_value()) {
        return fail("malformed answer: " + describe(problems));
    }
    nlohmann::json shown = nlohmann::json::array();
    for (const auto &[presetName, preset] : configuration->presets) {
        if (name.empty() || presetName.value() == name) {
            shown.push_back(encodePreset(preset));
        }
        if (name.empty() && !m_options.json) {
            m_output << (presetName == configuration->presetInForce ? "* " : "  ") << presetName << '\n';
        }
    }
    if (!name.empty() && shown.empty()) {
        return fail("preset \"" + name + "\" does not exist");
    }
    if (!name.empty()) {
        m_output << shown.front().dump(2) << '\n';
    } else if (m_options.json) {
        m_output << nlohmann::json{{"presetInForce", configuration->presetInForce.value()}, {"presets", shown}}.dump() << '\n';
    }
    return CtlStatus::Success;
}

CtlStatus CtlCommands::putPreset(const std::string &file)
{
    const std::optional<std::string> text = readFile(file);
    if (!text.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    const std::optional<nlohmann::json> document = parseJsonText(*text, problems);
    Preset preset;
    if (document.has_value()) {
        JsonObjectReader reader(*document, {}, problems);
        preset = decodePreset(reader);
        reader.refuseUnknownFields();
        addLineNumbers(problems, *text);
    }
    return problems.empty() ? sendChange(PutPreset{preset}) : fail(describe(problems, file));
}

CtlStatus CtlCommands::drainOrRestore(bool drain, const std::string &kind, const std::string &id)
{
    if (!identifierRule.accepts(id)) {
        return reportUsageError("\"" + id + "\" is not a valid id, allowed: " + identifierRule.allowed);
    }
    ServiceUnit unit;
    if (kind == "datacentre") {
        unit = DataCentreId(id);
    } else if (kind == "host") {
        unit = HostId(id);
    } else if (kind == "upstream") {
        unit = UpstreamId(id);
    } else {
        return reportUsageError("unknown kind \"" + kind + "\", allowed: datacentre, host, upstream");
    }
    if (drain) {
        return sendChange(TakeOut{unit});
    }
    return sendChange(Restore{unit});
}

CtlStatus CtlCommands::applyFleetFile(const std::string &file)
{
    const std::optional<std::string> text = readFile(file);
    if (!text.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    std::optional<DeclaredFleet> fleet = readDeclaredFleet(*text, problems);
    return fleet.has_value() ? sendChange(ReplaceFleet{std::move(*fleet)}) : fail(describe(problems, file));
}

CtlStatus CtlCommands::orders(const std::string &target, const std::string &key)
{
    const std::optional<std::string> body = fetch(target);
    if (!body.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    std::optional<std::vector<OperatorOrder>> orders = decodeOperatorOrders(*body, problems);
    if (!orders.has_value()) {
        return fail("malformed answer: " + describe(problems));
    }
    if (!key.empty()) {
        std::erase_if(*orders, [&](const OperatorOrder &order) {
            return order.key != key;
        });
        if (orders->empty()) {
            return fail("order \"" + key + "\" does not exist");
        }
    }
    if (m_options.json) {
        m_output << encodeOperatorOrders(*orders).dump() << '\n';
        return CtlStatus::Success;
    }
    for (const OperatorOrder &order : *orders) {
        m_output << order.key << "  " << order.state << "  " << order.host << "  " << timeText(order.claimedAt) << '\n';
    }
    return CtlStatus::Success;
}

CtlStatus CtlCommands::limits()
{
    const std::optional<std::string> body = fetch("/operator/limits");
    if (!body.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    const std::optional<std::vector<OperatorLimit>> limits = decodeOperatorLimits(*body, problems);
    if (!limits.has_value()) {
        return fail("malformed answer: " + describe(problems));
    }
    if (m_options.json) {
        m_output << *body << '\n';
        return CtlStatus::Success;
    }
    for (const OperatorLimit &limit : *limits) {
        m_output << limit.organisation << "  requests/s " << limit.requestsPerSecondHere << " of " << limit.requestsPerSecond << "  tokens "
                 << limit.tokensUsedHere << " of " << limit.tokensInFlightHere << " here, " << limit.tokensInFlight << " in the fleet  refused "
                 << limit.refused << '\n';
    }
    return CtlStatus::Success;
}

CtlStatus CtlCommands::history()
{
    const std::optional<std::string> body = fetch("/operator/history");
    if (!body.has_value()) {
        return CtlStatus::Failure;
    }
    ConfigurationProblems problems;
    const std::optional<std::vector<RecentChange>> changes = decodeHistory(*body, problems);
    if (!changes.has_value()) {
        return fail("malformed answer: " + describe(problems));
    }
    if (m_options.json) {
        m_output << *body << '\n';
        return CtlStatus::Success;
    }
    for (const RecentChange &change : *changes) {
        m_output << change.revision << "  " << timeText(change.time) << "  " << change.id << "  " << change.summary << '\n';
    }
    return CtlStatus::Success;
}

CtlStatus CtlCommands::sendChange(decltype(ConfigurationChange::action) action)
{
    const ConfigurationChange change{m_options.changeId.empty() ? newChangeId() : ChangeId(m_options.changeId), std::move(action)};
    const HttpCallResult result = m_client.post("/operator/changes", encodeChange(change).dump());
    if (!result.response.has_value()) {
        return result.possiblySent ? reportChange(encodeChangeAnswer({change.id, ChangeResult::Unresolved, 0, {}}).dump(), change.id)
                                   : fail("the daemon cannot be reached; the change was not sent");
    }
    return reportChange(result.response->body(), change.id);
}

CtlStatus CtlCommands::reportChange(const std::string &body, const ChangeId &id)
{
    ConfigurationProblems problems;
    const std::optional<ChangeAnswer> answer = decodeChangeAnswer(body, problems);
    if (!answer.has_value()) {
        return fail("change " + id.value() + ": the daemon answered " + body);
    }
    if (m_options.json) {
        m_output << encodeChangeAnswer(*answer).dump() << '\n';
    }
    switch (answer->result) {
    case ChangeResult::Accepted:
        if (!m_options.json) {
            m_output << "accepted as revision " << answer->revision << " (change " << id << ")\n";
        }
        return m_options.wait.has_value() ? waitForRevision(answer->revision) : CtlStatus::Success;
    case ChangeResult::Rejected:
        return fail("rejected: " + answer->reason);
    case ChangeResult::Unresolved:
        break;
    }
    return fail("unresolved: the change may be in force; repeat the command with --change-id " + id.value());
}

CtlStatus CtlCommands::waitForRevision(Revision revision)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + *m_options.wait;
    std::string laggingHosts = "no status";
    do {
        const HttpCallResult result = m_client.get("/operator/status");
        ConfigurationProblems problems;
        const std::optional<OperatorStatus> status
            = result.response.has_value() ? decodeOperatorStatus(result.response->body(), problems) : std::optional<OperatorStatus>();
        if (status.has_value()) {
            laggingHosts.clear();
            for (const OperatorHostStatus &host : status->hosts) {
                laggingHosts += isLive(host) && host.revision < revision ? " " + host.id.value() : std::string();
            }
            if (laggingHosts.empty() && status->revision >= revision) {
                return CtlStatus::Success;
            }
        }
        std::this_thread::sleep_for(pollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return fail("revision " + std::to_string(revision) + " is accepted but not yet in force everywhere; behind:" + laggingHosts);
}

namespace {

constexpr std::size_t firstFileIndex = 2;

CtlStatus explain(const std::vector<std::string> &words, std::ostream &output, std::ostream &errors)
{
    if (words.size() <= firstFileIndex) {
        errors << "mangofallctl: explain needs a request id and at least one log file\n";
        return CtlStatus::UsageError;
    }
    LogExplainer explainer(words[1]);
    for (std::size_t index = firstFileIndex; index < words.size(); ++index) {
        std::ifstream file(words[index]);
        if (!file.is_open()) {
            errors << "mangofallctl: " << words[index] << " cannot be read\n";
            return CtlStatus::Failure;
        }
        explainer.read(file);
    }
    return explainer.print(output) ? CtlStatus::Success : CtlStatus::Failure;
}

}

CtlStatus runCtl(const std::vector<std::string> &arguments, const Check::ConfigurationSource &configurations, std::ostream &output, std::ostream &errors)
{
    const CtlParseResult parsed = parseCtlOptions(arguments, output, errors);
    if (!parsed.options.has_value()) {
        return parsed.status;
    }
    if (!parsed.options->words.empty() && parsed.options->words.front() == "explain") {
        return explain(parsed.options->words, output, errors);
    }
    if (!parsed.options->words.empty() && parsed.options->words.front() == "check") {
        return CheckCommand(*parsed.options, configurations, output, errors).run();
    }
    const std::optional<std::string> key = readSecretFile(parsed.options->keyFile);
    if (!key.has_value()) {
        errors << "mangofallctl: " << parsed.options->keyFile << " cannot be read or contains no key\n";
        return CtlStatus::Failure;
    }
    return CtlCommands(*parsed.options, OperatorClient(parsed.options->server, *key, requestTimeout), output, errors).run();
}

}
