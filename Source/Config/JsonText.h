#pragma once

#include "Config/ConfigurationProblem.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/// Parses \p text as JSON with comments; empty on a syntax error, a duplicate field or nesting deeper than 64 levels, which is added to \p problems.
std::optional<nlohmann::json> parseJsonText(std::string_view text, ConfigurationProblems &problems);

/// The line number of each field and array element of \p text, by path. \p text must be valid JSON with comments.
std::map<std::string, int> jsonLineNumbers(std::string_view text);

/// Fills in the line numbers of \p problems, which were found in \p text. A missing field gets the line of the object that should contain it.
void addLineNumbers(ConfigurationProblems &problems, std::string_view text);

}
