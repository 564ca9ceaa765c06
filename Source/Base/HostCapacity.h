#pragma once

#include <cstdint>

namespace Mangofall {

/**
 * \class HostCapacity
 * \brief What a host's machine can carry, as the host publishes it; 0 for what is not known.
 */
struct HostCapacity {
    std::uint32_t linkMbps = 0; ///< Bandwidth of the link in Mbit/s.
    std::uint32_t processorPercent = 0; ///< Share of a processor core in percent; 100 for each whole core.

    friend bool operator==(const HostCapacity &, const HostCapacity &) = default;
};

/// Hosts of one class carry about the same, within a factor of two; a higher class carries more.
unsigned capacityClass(const HostCapacity &capacity);

}
