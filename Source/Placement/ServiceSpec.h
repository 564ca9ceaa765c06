#pragma once

#include "Base/Ids.h"
#include "Placement/DataCentreDelays.h"
#include "Placement/EngineSpec.h"

#include <optional>

namespace Mangofall::Placement {

/**
 * \class ServiceSpec
 * \brief The settings of a service that placement needs.
 */
struct ServiceSpec {
    ServiceId id;
    double coldRequestsPerSecond = 0; ///< Limit for each cold upstream; 0 means no limit.
    std::optional<EngineSpec> engine; ///< Set for services whose upstreams are model engines.
    DataCentreDelays delays{};

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

}
