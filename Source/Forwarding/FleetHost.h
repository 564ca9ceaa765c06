#pragma once

#include "Base/Ids.h"
#include "Config/NetworkAddress.h"

namespace Mangofall::Forwarding {

/**
 * \class FleetHost
 * \brief A live host of the fleet and the address at which its peers reach it.
 */
struct FleetHost {
    HostId id;
    NetworkAddress address;

    friend bool operator==(const FleetHost &, const FleetHost &) = default;
};

}
