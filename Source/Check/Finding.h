#pragma once

#include <string>
#include <vector>

namespace Mangofall::Check {

/// Whether hosts refuse a configuration because of a finding.
enum class Severity {
    Error, ///< Hosts refuse the configuration and keep the one in force.
    Warning, ///< Hosts adopt the configuration; it probably does not do what is meant.
};

/**
 * \class Finding
 * \brief One problem of a configuration.
 */
struct Finding {
    Severity severity = Severity::Error;
    std::string code; ///< Stable name of the kind of problem, such as `wrong-type`.
    std::string path; ///< JSON pointer of the field; empty for the document.
    std::string found; ///< What was found. Never a credential, and no more of the document than the field's own value.
    std::string allowed; ///< What is allowed, or what the hosts do instead.

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

/// Number of findings of \p severity.
std::size_t count(const Findings &findings, Severity severity);

/// One line of text: severity, path, what was found and what is allowed.
std::string describe(const Finding &finding);

}
