#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/**
 * \class ConfigurationProblem
 * \brief One fault in a settings file, a fleet document or a change.
 */
struct ConfigurationProblem {
    std::string path; ///< Field path such as `upstreams[3].port`; empty for the document itself.
    std::string found;
    std::string allowed;
    int line = 0; ///< Counted from 1; 0 if unknown.

    friend bool operator==(const ConfigurationProblem &, const ConfigurationProblem &) = default;
};

using ConfigurationProblems = std::vector<ConfigurationProblem>;

/// One line of text: file and line if known, field path, what was found, what is allowed.
std::string describe(const ConfigurationProblem &problem, std::string_view fileName = {});

/// All of \p problems, one line each.
std::string describe(const ConfigurationProblems &problems, std::string_view fileName = {});

/// Joins a path and a field name.
std::string fieldPath(std::string_view parent, std::string_view name);

/// Joins a path and an array index.
std::string elementPath(std::string_view parent, std::size_t index);

}
