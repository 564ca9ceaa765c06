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
    bool advanceReservation = false; ///< Whether engines are reserved ahead of time for prompts that exceed the KV memory of one engine.

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

}
