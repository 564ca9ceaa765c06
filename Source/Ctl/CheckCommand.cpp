#include "Ctl/CheckCommand.h"

#include "Check/ConfigurationComparison.h"
#include "Check/MeaningCheck.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <utility>

namespace Mangofall {

namespace {

constexpr const char *standardInput = "-";
constexpr std::size_t wordsOfCheck = 2;

// The values of entries with other errors are not known, so that differences from them would be wrong.
bool hasOnlyVersionErrors(const Check::Findings &findings)
{
    return std::all_of(findings.begin(), findings.end(), [](const Check::Finding &finding) {
        return finding.severity != Check::Severity::Error || finding.code == "version-not-above";
    });
}

// JSON pointer of the entry that the field at \p path belongs to, such as `/routes/3`, or of its section.
std::string entryOf(const std::string &path)
{
    const std::size_t section = path.find('/', 1);
    const std::size_t entry = section == std::string::npos ? std::string::npos : path.find('/', section + 1);
    return path.substr(0, entry);
}

}

std::optional<std::string> readLimited(std::istream &stream, std::size_t limitBytes)
{
    constexpr std::size_t partBytes = 64UL * 1024;
    std::array<char, partBytes> part;
    std::string text;
    while (stream && text.size() <= limitBytes) {
        stream.read(part.data(), static_cast<std::streamsize>(std::min(part.size(), limitBytes + 1 - text.size())));
        text.append(part.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return text.size() > limitBytes || stream.bad() ? std::nullopt : std::optional(std::move(text));
}

CheckCommand::CheckCommand(const CtlOptions &options, const Check::ConfigurationSource &configurations, std::ostream &output, std::ostream &errors)
    : m_options(options)
    , m_configurations(configurations)
    , m_output(output)
    , m_errors(errors)
{
}

CtlStatus CheckCommand::run()
{
    if (m_options.words.size() != wordsOfCheck) {
        return reportUsageError("check needs one configuration: a file, or - for the standard input");
    }
    if (m_options.words[1] == standardInput && m_options.inForce == standardInput) {
        return reportUsageError("only one of the configurations can be the standard input");
    }
    const std::optional<std::string> text = readInput(m_options.words[1]);
    if (!text) {
        return CtlStatus::Failure;
    }
    std::optional<Forwarding::ForwardingConfiguration> inForce;
    if (!m_options.inForce.empty()) {
        const std::optional<std::string> textInForce = readInForce();
        if (!textInForce) {
            return CtlStatus::Failure;
        }
        Check::ReadConfiguration read = m_configurations.read(*textInForce, std::nullopt);
        if (!read.configuration) {
            m_errors << "mangofallctl: the configuration in force has errors; check it by itself\n";
            return CtlStatus::Failure;
        }
        inForce = std::move(read.configuration);
    }
    Check::ReadConfiguration read = m_configurations.read(*text, inForce ? std::optional(inForce->version) : std::nullopt);
    const std::optional<Forwarding::ForwardingConfiguration> &next = read.configuration ? read.configuration : read.draft;
    Check::CheckReport report{std::move(read.findings), std::nullopt};
    if (next && inForce && hasOnlyVersionErrors(report.findings)) {
        report.differences = Check::compare(*inForce, *next);
    }
    if (next) {
        addMeaning(*next, report.findings);
    }
    return print(report);
}

std::optional<std::string> CheckCommand::readInput(const std::string &name)
{
    std::ifstream file;
    if (name != standardInput) {
        std::error_code ignored;
        if (!std::filesystem::is_directory(name, ignored)) {
            file.open(name, std::ios::binary);
        }
        if (!file.is_open()) {
            m_errors << "mangofallctl: " << name << " cannot be read\n";
            return std::nullopt;
        }
    }
    std::optional<std::string> text = readLimited(name == standardInput ? std::cin : file, maxInputBytes);
    if (!text) {
        m_errors << "mangofallctl: " << name << " cannot be read, or has more than " << maxInputBytes << " bytes\n";
    }
    return text;
}

std::optional<std::string> CheckCommand::readInForce()
{
    const std::optional<NetworkAddress> store = parseServer(m_options.inForce);
    if (!store) {
        return readInput(m_options.inForce);
    }
    std::string problem;
    std::optional<std::string> text = m_configurations.readInForce(*store, problem);
    if (!text) {
        m_errors << "mangofallctl: " << m_options.inForce << ": " << problem << '\n';
    }
    return text;
}

void CheckCommand::addMeaning(const Forwarding::ForwardingConfiguration &configuration, Check::Findings &findings) const
{
    std::set<std::string> entriesWithErrors;
    for (const Check::Finding &finding : findings) {
        if (finding.severity == Check::Severity::Error) {
            entriesWithErrors.insert(entryOf(finding.path));
        }
    }
    for (Check::MeaningWarning &warning : Check::checkMeaning(configuration)) {
        std::string path = m_configurations.pointer(warning.place);
        if (!entriesWithErrors.contains(entryOf(path))) {
            findings.push_back({Check::Severity::Warning, std::move(warning.code), std::move(path), std::move(warning.found), std::move(warning.allowed)});
        }
    }
}

CtlStatus CheckCommand::print(const Check::CheckReport &report)
{
    if (m_options.json) {
        printJson(report, m_output);
    } else {
        printText(report, m_output);
    }
    const bool hasErrors = Check::count(report.findings, Check::Severity::Error) > 0;
    return hasErrors || (m_options.strict && !report.findings.empty()) ? CtlStatus::Failure : CtlStatus::Success;
}

CtlStatus CheckCommand::reportUsageError(const std::string &message)
{
    m_errors << "mangofallctl: " << message << '\n';
    return CtlStatus::UsageError;
}

}
