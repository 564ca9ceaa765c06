#include "Check/Finding.h"

#include <algorithm>

namespace Mangofall::Check {

std::size_t count(const Findings &findings, Severity severity)
{
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), [severity](const Finding &finding) {
        return finding.severity == severity;
    }));
}

std::string describe(const Finding &finding)
{
    const std::string severity = finding.severity == Severity::Error ? "error" : "warning";
    const std::string place = finding.path.empty() ? "document" : finding.path;
    return severity + " " + place + ": " + finding.code + ": found " + finding.found + ", allowed: " + finding.allowed;
}

}
