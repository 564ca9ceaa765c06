#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/**
 * \class ConfigurationProblem
 * \brief One invalid or missing value in a settings file, a fleet document or a change.
 */
struct ConfigurationProblem {
    std::string path; ///< Field path such as `upstreams[3].port`; empty for the document itself.
    std::string found; ///< The value found, or a description of it.
    std::string allowed; ///< Description of the valid values.
    int line = 0; ///< Line number in the document, counted from 1; 0 if unknown.

    friend bool operator==(const ConfigurationProblem &, const ConfigurationProblem &) = default;
};

using ConfigurationProblems = std::vector<ConfigurationProblem>;

/// One line of text with the file and line number if known, the field path, the value found and the values allowed.
std::string describe(const ConfigurationProblem &problem, std::string_view fileName = {});

/// The descriptions of all \p problems, one line each.
std::string describe(const ConfigurationProblems &problems, std::string_view fileName = {});

/// The path of field \p name of the object at path \p parent.
std::string fieldPath(std::string_view parent, std::string_view name);

/// The path of element \p index of the array at path \p parent.
std::string elementPath(std::string_view parent, std::size_t index);

}
