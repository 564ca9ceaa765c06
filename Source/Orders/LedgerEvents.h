#pragma once

#include "Orders/OrderClaim.h"
#include "Orders/OrderResolution.h"

#include <string>

namespace Mangofall::Orders {

/// Event: the ownership table names this process as the owner of the shard. If the event is repeated after a pause of the host,
/// the ledger checks that no other owner has written in the meantime.
struct BecomeOwner {
};

/// Event: the ownership table names another process as the owner of the shard.
struct StopOwning {
};

/// Event: an order needs a durable claim. At most one change of a key may be requested at a time.
struct ClaimOrder {
    OrderClaim claim;
};

/// Event: withdraw a claim. If it has not been sent to the store yet, ClaimRefused or ClaimExists follows at once; otherwise
/// ClaimInFlight follows.
struct WithdrawClaim {
    OrderKey key;
    AttemptId attempt;
};

/// Event: record how the order claimed by \p attempt ended.
struct ResolveOrder {
    OrderKey key;
    AttemptId attempt;
    OrderResolution resolution;
};

/// Event: time has passed; retries that are due are issued.
struct OrderTick {
};

}
