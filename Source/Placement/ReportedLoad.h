#pragma once

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class ReportedLoad
 * \brief The load that an upstream reports about itself in the header of an answer.
 */
struct ReportedLoad {
    std::uint32_t running = 0; ///< Requests that the upstream runs, the answered one included.
    std::uint32_t waiting = 0; ///< Requests that the upstream has accepted and not started.
    std::uint32_t slots = 0; ///< Requests that the upstream can run at the same time.

    friend bool operator==(const ReportedLoad &, const ReportedLoad &) = default;
};

}
