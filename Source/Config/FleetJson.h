#pragma once

#include "Config/ConfigurationProblem.h"
#include "Config/DeclaredFleet.h"
#include "Config/FleetConfiguration.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace Mangofall {

class JsonObjectReader;

/// JSON of a declared fleet, in the format of the operators' files.
nlohmann::json encodeDeclaredFleet(const DeclaredFleet &fleet);
DeclaredFleet decodeDeclaredFleet(JsonObjectReader &reader);
/// Parses the \p text of an operators' file (JSON with comments). Faults are added to \p problems with their line numbers.
std::optional<DeclaredFleet> readDeclaredFleet(std::string_view text, ConfigurationProblems &problems);

/// JSON of the complete configuration at one revision: the body of the answer to `GET /operator/configuration`.
nlohmann::json encodeFleetConfiguration(const FleetConfiguration &configuration);
std::optional<FleetConfiguration> decodeFleetConfiguration(std::string_view text, ConfigurationProblems &problems);

}
