#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Mangofall::Review {

/// Replaces the placeholders {{a.b}} and {{a.b|json}} of a settings template by the values of \p fields, as the platform does.
std::string fillTemplate(const std::string &text, const nlohmann::json &fields);

}
