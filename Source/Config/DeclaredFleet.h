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
 * \brief What operators keep in version control: everything but the preset in force and what is out of service.
 */
struct DeclaredFleet {
    std::map<PresetName, Preset> presets;
    std::map<OrganisationId, OrganisationSpec> organisations;
    std::map<UpstreamId, UpstreamSpec> upstreams;
    std::vector<RouteSpec> routes;
    /// Put in force if no configuration exists yet; ignored otherwise, so that applying a file never switches presets.
    std::optional<PresetName> initialPreset;

    friend bool operator==(const DeclaredFleet &, const DeclaredFleet &) = default;
};

}
