#include "Check/CheckReport.h"

#include <nlohmann/json.hpp>

namespace Mangofall::Check {

namespace {

using nlohmann::json;

const char *name(DifferenceSubject subject)
{
    switch (subject) {
    case DifferenceSubject::Route:
        return "route";
    case DifferenceSubject::Service:
        return "service";
    case DifferenceSubject::Organisation:
        return "organisation";
    case DifferenceSubject::Credential:
        return "key";
    case DifferenceSubject::Limit:
        break;
    }
    return "limits";
}

const char *name(DifferenceKind kind)
{
    switch (kind) {
    case DifferenceKind::Added:
        return "added";
    case DifferenceKind::Removed:
        return "removed";
    case DifferenceKind::Changed:
        break;
    }
    return "changed";
}

json encode(const Finding &finding)
{
    return {{"severity", finding.severity == Severity::Error ? "error" : "warning"},
            {"code", finding.code},
            {"path", finding.path},
            {"found", finding.found},
            {"allowed", finding.allowed}};
}

json encode(const Difference &difference)
{
    return {{"subject", name(difference.subject)},
            {"change", name(difference.kind)},
            {"name", difference.name},
            {"details", difference.details},
            {"effect", difference.effect}};
}

// Text of the configuration may hold any characters; those that control a terminal are replaced.
std::string printable(std::string text)
{
    for (char &character : text) {
        const auto code = static_cast<unsigned char>(character);
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char deleteCode = 0x7f;
        if (code < firstPrintable || code == deleteCode) {
            character = '?';
        }
    }
    return text;
}

}

void printText(const CheckReport &report, std::ostream &output)
{
    for (const Finding &finding : report.findings) {
        output << printable(describe(finding)) << '\n';
    }
    for (const Difference &difference : report.differences.value_or(std::vector<Difference>())) {
        output << name(difference.kind) << ' ' << name(difference.subject) << ' ' << printable(difference.name) << '\n';
        for (const std::string &detail : difference.details) {
            output << "  " << printable(detail) << '\n';
        }
        if (!difference.effect.empty()) {
            output << "  effect: " << printable(difference.effect) << '\n';
        }
    }
    const std::size_t errors = count(report.findings, Severity::Error);
    output << (errors == 0 ? "valid" : "invalid") << ": " << errors << " errors, " << count(report.findings, Severity::Warning) << " warnings\n";
    if (errors > 0) {
        output << "entries with errors were checked no further\n";
    }
}

void printJson(const CheckReport &report, std::ostream &output)
{
    json findings = json::array();
    for (const Finding &finding : report.findings) {
        findings.push_back(encode(finding));
    }
    json result = json::object();
    result["valid"] = count(report.findings, Severity::Error) == 0;
    result["findings"] = std::move(findings);
    if (report.differences) {
        result["differences"] = json::array();
        for (const Difference &difference : *report.differences) {
            result["differences"].push_back(encode(difference));
        }
    }
    output << result.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

}
