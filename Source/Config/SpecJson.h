#pragma once

#include "Config/DeclaredFleet.h"
#include "Config/FleetConfiguration.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace Mangofall {

class JsonObjectReader;

/// Encode and decode the parts of a fleet document. Decoding checks each field; missing optional fields keep the default of the type.
nlohmann::json encodePreset(const Preset &preset);
Preset decodePreset(JsonObjectReader &reader);

nlohmann::json encodeOrganisation(const OrganisationSpec &organisation);
OrganisationSpec decodeOrganisation(JsonObjectReader &reader);

nlohmann::json encodeUpstream(const UpstreamSpec &upstream);
UpstreamSpec decodeUpstream(JsonObjectReader &reader);

nlohmann::json encodeRoute(const RouteSpec &route);
RouteSpec decodeRoute(JsonObjectReader &reader);

nlohmann::json encodeOutOfService(const OutOfService &outOfService);
OutOfService decodeOutOfService(JsonObjectReader &reader);

nlohmann::json encodeRecentChange(const RecentChange &change);
RecentChange decodeRecentChange(JsonObjectReader &reader);

/// Decode the array at field \p name; a second element with the same id is reported as a problem.
std::map<PresetName, Preset> decodePresets(JsonObjectReader &reader, std::string_view name);
std::map<OrganisationId, OrganisationSpec> decodeOrganisations(JsonObjectReader &reader, std::string_view name);
std::map<UpstreamId, UpstreamSpec> decodeUpstreams(JsonObjectReader &reader, std::string_view name);
std::vector<RouteSpec> decodeRoutes(JsonObjectReader &reader, std::string_view name);

}
