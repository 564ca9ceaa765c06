#pragma once

namespace Mangofall::Placement {

/**
 * \class PlacementOptions
 * \brief The parts of placement that a deployment can enable.
 */
struct PlacementOptions {
    bool reportedLoad = false; ///< Whether the load and the lateness that upstreams show in their answers influence placement.

    friend bool operator==(const PlacementOptions &, const PlacementOptions &) = default;
};

}
