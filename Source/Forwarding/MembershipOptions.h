#pragma once

#include "Base/PauseDetector.h"
#include "Forwarding/StoreViewStatus.h"

#include <functional>

namespace Mangofall::Forwarding {

/// How hosts that have lost the store, or have just started, take part in placement.
struct MembershipOptions {
    Duration keepUnlisted{0}; ///< The longest time for which a host without an entry in the store stays a member; 0 if it is removed at once.
    Duration staleAfter{0}; ///< A view of the store that is this much older than that of another host is stale.
    std::function<StoreViewStatus()> view; ///< This host's view of the store. If it is empty, owners place all requests, however old their views are.
    std::function<void()> paused{}; ///< Called after a pause of this process that may have made its upstream list old; may be empty.
    PauseDetector::BootClock bootClock = bootTime; ///< The clock that shows that this process was stopped.
};

}
