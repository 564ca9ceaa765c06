#pragma once

#include "Config/ConfigurationProblem.h"
#include "Config/DeclaredFleet.h"
#include "Config/FleetConfiguration.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>

namespace Mangofall {

class JsonObjectReader;

/// The operators' file format.
nlohmann::json encodeDeclaredFleet(const DeclaredFleet &fleet);
DeclaredFleet decodeDeclaredFleet(JsonObjectReader &reader);
/// Reads an operators' file (JSON with comments); faults are added to \p problems with their lines.
std::optional<DeclaredFleet> readDeclaredFleet(std::string_view text, ConfigurationProblems &problems);

/// The whole document at one revision, as `GET /operator/configuration` answers it.
nlohmann::json encodeFleetConfiguration(const FleetConfiguration &configuration);
std::optional<FleetConfiguration> decodeFleetConfiguration(std::string_view text, ConfigurationProblems &problems);

}
