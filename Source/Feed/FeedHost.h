#pragma once

#include "Base/HostCapacity.h"
#include "Base/Ids.h"
#include "Config/NetworkAddress.h"

namespace Mangofall::Feed {

/**
 * \class FeedHost
 * \brief A live host of this host's data centre that answers feed calls.
 */
struct FeedHost {
    HostId id;
    NetworkAddress address;
    HostCapacity capacity;

    friend bool operator==(const FeedHost &, const FeedHost &) = default;
};

}
