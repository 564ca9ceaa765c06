#pragma once

#include "Base/Ids.h"
#include "Placement/EngineSpec.h"

#include <optional>

namespace Mangofall::Placement {

/**
 * \class ServiceSpec
 * \brief What placing needs to know of a service.
 */
struct ServiceSpec {
    ServiceId id;
    double coldRequestsPerSecond = 0; ///< Limit of a cold upstream; 0 means none.
    std::optional<EngineSpec> engine; ///< Set for services whose upstreams are model engines.

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

}
