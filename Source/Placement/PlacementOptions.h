#pragma once

#include "Placement/CrossDataCentreOptions.h"

#include <optional>

namespace Mangofall::Placement {

/**
 * \class PlacementOptions
 * \brief The parts of placement that a deployment can enable.
 */
struct PlacementOptions {
    bool advanceReservation = false; ///< Whether engines are reserved ahead of time for prompts that exceed the KV memory of one engine.
    bool reportedLoad = false; ///< Whether the load and the lateness that upstreams show in their answers influence placement.
    std::optional<CrossDataCentreOptions>
        crossDataCentre{}; ///< If set, requests leave their data centre by cost; otherwise other data centres have fixed costs.

    friend bool operator==(const PlacementOptions &, const PlacementOptions &) = default;
};

}
