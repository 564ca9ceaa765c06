#include "Ctl/CtlOptions.h"

#include "Config/TextRule.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <limits>
#include <utility>

namespace Mangofall {

namespace {

const char *const usage = "usage: mangofallctl --key-file FILE [--server ADDRESS:PORT] [--json] [--wait DURATION] [--change-id ID] COMMAND\n"
                          "commands:\n"
                          "  status\n"
                          "  preset list | preset show NAME | preset put FILE | preset use NAME\n"
                          "  drain datacentre|host|upstream ID\n"
                          "  restore datacentre|host|upstream ID\n"
                          "  apply FILE\n"
                          "  orders list | orders show KEY | orders unresolved\n"
                          "  limits\n"
                          "  config history\n"
                          "  explain REQUEST FILE...   (needs no daemon and no key)\n"
                          "  check CONFIG [--in-force CONFIG|ADDRESS:PORT] [--strict] [--json]   (needs no daemon and no key)\n";

// Whether the subcommand only reads files, so that it needs no daemon and no key.
bool isOffline(const std::vector<std::string> &words)
{
    return !words.empty() && (words.front() == "explain" || words.front() == "check");
}

CtlParseResult reportUsageError(std::ostream &errors, const std::string &message)
{
    errors << "mangofallctl: " << message << '\n' << usage;
    return {std::nullopt, CtlStatus::UsageError};
}

}

std::optional<NetworkAddress> parseServer(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    NetworkAddress address{text.substr(0, colon), 0};
    if (address.address.starts_with('[') && address.address.ends_with(']')) {
        address.address = address.address.substr(1, address.address.size() - 2);
    }
    const auto result = std::from_chars(text.data() + colon + 1, text.data() + text.size(), address.port);
    const bool validPort = result.ec == std::errc() && result.ptr == text.data() + text.size() && address.port > 0;
    return validPort && ipAddressRule.accepts(address.address) ? std::optional(address) : std::nullopt;
}

std::optional<Duration> parseDuration(const std::string &text)
{
    std::uint32_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    const std::string unit(result.ptr, text.data() + text.size());
    if (unit == "ms") {
        return std::chrono::milliseconds(value);
    }
    if (unit == "s") {
        return std::chrono::seconds(value);
    }
    return unit == "m" ? std::optional<Duration>(std::chrono::minutes(value)) : std::nullopt;
}

CtlParseResult parseCtlOptions(std::vector<std::string> arguments, std::ostream &output, std::ostream &errors)
{
    CtlOptions options;
    std::string server;
    std::string wait;
    try {
        TCLAP::CmdLine command("Operate a mangofall fleet", ' ', "0.1.0", false);
        command.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> serverArg("", "server", "address of the operator listener of a daemon", false, "127.0.0.1:8081", "ADDRESS:PORT", command);
        TCLAP::ValueArg<std::string> keyArg("", "key-file", "file with the operator key", false, "", "FILE", command);
        TCLAP::ValueArg<std::string> idArg("", "change-id", "id of an earlier change to repeat", false, "", "ID", command);
        TCLAP::ValueArg<std::string> waitArg("", "wait", "longest time to wait until every live host has the change", false, "", "DURATION", command);
        TCLAP::SwitchArg jsonArg("", "json", "print the daemon's answer as JSON", command);
        TCLAP::ValueArg<std::string> inForceArg(
            "", "in-force", "configuration to compare with: a file, or the address of the store", false, "", "CONFIG", command);
        TCLAP::SwitchArg strictArg("", "strict", "fail on warnings", command);
        TCLAP::SwitchArg helpArg("h", "help", "print the usage", command);
        TCLAP::UnlabeledMultiArg<std::string> wordsArg("command", "subcommand and its arguments", false, "COMMAND", command);
        command.parse(arguments);
        if (helpArg.getValue()) {
            output << usage;
            return {std::nullopt, CtlStatus::Success};
        }
        server = serverArg.getValue();
        wait = waitArg.getValue();
        options.keyFile = keyArg.getValue();
        options.changeId = idArg.getValue();
        options.json = jsonArg.getValue();
        options.inForce = inForceArg.getValue();
        options.strict = strictArg.getValue();
        options.words = wordsArg.getValue();
    } catch (const TCLAP::ArgException &error) {
        return reportUsageError(errors, error.argId() + ": " + error.error());
    }
    const std::optional<NetworkAddress> address = parseServer(server);
    if (!address.has_value()) {
        return reportUsageError(errors, "--server: found \"" + server + "\", allowed: a numeric address and a port, such as 127.0.0.1:8081");
    }
    options.server = *address;
    const bool checks = !options.words.empty() && options.words.front() == "check";
    if (!checks && (options.strict || !options.inForce.empty())) {
        return reportUsageError(errors, "--strict and --in-force belong to the command check");
    }
    if (options.keyFile.empty() && !isOffline(options.words)) {
        return reportUsageError(errors, "--key-file is required");
    }
    if (!options.changeId.empty() && !identifierRule.accepts(options.changeId)) {
        return reportUsageError(errors, "--change-id: found \"" + options.changeId + "\", allowed: " + identifierRule.allowed);
    }
    if (!wait.empty()) {
        options.wait = parseDuration(wait);
        if (!options.wait.has_value()) {
            return reportUsageError(errors, "--wait: found \"" + wait + "\", allowed: a number with unit ms, s or m");
        }
    }
    return {std::move(options), CtlStatus::Success};
}

}
