#pragma once

#include "Orders/OrderClaim.h"
#include "Orders/OrderResolution.h"

#include <string>

namespace Mangofall::Orders {

/// The ownership table names this process the owner of the shard. Repeated after a pause of the host, it confirms that no
/// other owner has written meanwhile.
struct BecomeOwner {
};

/// The ownership table names another process the owner of the shard.
struct StopOwning {
};

/// Asks for a durable claim. A caller asks for one change of a key at a time.
struct ClaimOrder {
    OrderClaim claim;
};

/// Takes back a claim that is not on its way to the store yet: ClaimRefused or ClaimExists follows at once, else ClaimDelayed.
struct WithdrawClaim {
    OrderKey key;
    AttemptId attempt;
};

/// Asks to record how the order claimed by \p attempt ended.
struct ResolveOrder {
    OrderKey key;
    AttemptId attempt;
    OrderResolution resolution;
};

/// Time passes; due retries are issued.
struct OrderTick {
};

}
