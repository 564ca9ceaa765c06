#pragma once

#include "Config/ConfigurationProblem.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/// Parses JSON with comments. Syntax errors, duplicate fields and nesting deeper than 64 levels are added to \p problems.
std::optional<nlohmann::json> parseJsonText(std::string_view text, ConfigurationProblems &problems);

/// The line of each field and array element of valid JSON \p text, by path.
std::map<std::string, int> jsonLineNumbers(std::string_view text);

/// Fills in the lines of \p problems; a field that is missing gets the line of the object that lacks it.
void addLineNumbers(ConfigurationProblems &problems, std::string_view text);

}
