#pragma once

#include "Base/Ids.h"
#include "Config/OrganisationSpec.h"
#include "Config/Preset.h"
#include "Config/RecentChange.h"
#include "Config/Revision.h"
#include "Config/RouteSpec.h"
#include "Config/UpstreamSpec.h"

#include <map>
#include <set>
#include <vector>

namespace Mangofall {

/**
 * \class OutOfService
 * \brief Data centres, hosts and upstreams that operators have taken out of service.
 */
struct OutOfService {
    std::set<DataCentreId> dataCentres;
    std::set<HostId> hosts;
    std::set<UpstreamId> upstreams;

    friend bool operator==(const OutOfService &, const OutOfService &) = default;
};

/**
 * \class FleetConfiguration
 * \brief The complete configuration at one revision. It is not modified after it is built; each change makes a new one.
 */
struct FleetConfiguration {
    Revision revision = 0;
    PresetName presetInForce;
    std::map<PresetName, Preset> presets;
    std::map<OrganisationId, OrganisationSpec> organisations;
    std::map<UpstreamId, UpstreamSpec> upstreams;
    std::vector<RouteSpec> routes; ///< The route with the longest matching prefix applies.
    OutOfService outOfService;
    std::vector<RecentChange> recentChanges; ///< One per revision, newest last; at most maxRecentChanges.

    friend bool operator==(const FleetConfiguration &, const FleetConfiguration &) = default;
};

}
