#pragma once

#include "Base/Ids.h"
#include "Config/OrganisationSpec.h"
#include "Config/Preset.h"
#include "Config/RouteSpec.h"
#include "Config/UpstreamSpec.h"

#include <map>
#include <optional>
#include <vector>

namespace Mangofall {

/**
 * \class DeclaredFleet
 * \brief The part of the configuration that operators keep in version control: everything except the preset in force and the
 * data centres, hosts and upstreams out of service.
 */
struct DeclaredFleet {
    std::map<PresetName, Preset> presets;
    std::map<OrganisationId, OrganisationSpec> organisations;
    std::map<UpstreamId, UpstreamSpec> upstreams;
    std::vector<RouteSpec> routes;
    /// The preset to put in force if no configuration exists yet. Otherwise it is ignored, so that applying a file never switches presets.
    std::optional<PresetName> initialPreset;

    friend bool operator==(const DeclaredFleet &, const DeclaredFleet &) = default;
};

}
