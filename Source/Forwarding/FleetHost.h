#pragma once

#include "Base/HostCapacity.h"
#include "Base/Ids.h"
#include "Config/NetworkAddress.h"

#include <cstdint>

namespace Mangofall::Forwarding {

/**
 * \class FleetHost
 * \brief A live host of the fleet and the address at which its peers reach it.
 */
struct FleetHost {
    HostId id;
    NetworkAddress address;
    HostCapacity capacity;
    std::uint64_t start = 0; ///< Tells a restarted host from its former self; 0 if unknown.
    bool leaving = false; ///< Whether the host has announced that it leaves.

    friend bool operator==(const FleetHost &, const FleetHost &) = default;
};

/// Whether both describe the same process, whose grants and connections last.
inline bool isSameProcess(const FleetHost &left, const FleetHost &right)
{
    return left.id == right.id && left.address == right.address && left.start == right.start;
}

}
