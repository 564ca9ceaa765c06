#pragma once

#include "Base/ErrorKind.h"
#include "Orders/OrderRecord.h"
#include "Orders/StoreCalls.h"

#include <variant>
#include <vector>

namespace Mangofall::Orders {

/// The claim is durable and this process may send the order, once.
struct ClaimGranted {
    OrderKey key;
    AttemptId attempt;
};

/// The key has been claimed before; \p record tells by whom and how it ended.
struct ClaimExists {
    OrderKey key;
    AttemptId attempt; ///< The attempt that asked.
    OrderRecord record;
    bool owned = true; ///< Whether this process is in charge of settling the record.
};

/// The claim is not durable and this process will not send the order.
struct ClaimRefused {
    OrderKey key;
    AttemptId attempt;
    ErrorKind reason = ErrorKind::StoreUnavailable;
    bool notRun = false; ///< The ledger was read and shows no other run of the order.
};

/// Answers WithdrawClaim for a claim already on its way to the store; ClaimGranted, ClaimExists or ClaimRefused follows.
struct ClaimInFlight {
    OrderKey key;
    AttemptId attempt;
    bool notRun = false; ///< The ledger was read and shows no other run of the order.
};

/// The resolution is durable. It is the earlier one if the order had been resolved before.
struct OrderRecorded {
    OrderKey key;
    OrderResolution resolution;
};

/// This process owns the shard now; the unresolved orders of former owners are unknown.
struct OwnershipConfirmed {
    Epoch epoch = 0;
    std::vector<OrderRecord> unresolved;
};

enum class OwnershipLossReason {
    Fenced, ///< Another owner wrote the head.
    Revoked, ///< The ownership table named another owner.
    Unreadable, ///< The head has an unknown format; nothing was written.
};

/// This process no longer owns the shard and sends none of its orders.
struct OwnershipLost {
    OwnershipLossReason reason = OwnershipLossReason::Fenced;
};

using LedgerAction = std::variant<ReadKey, WriteKey, ClaimGranted, ClaimExists, ClaimRefused, ClaimInFlight, OrderRecorded, OwnershipConfirmed, OwnershipLost>;
using LedgerActions = std::vector<LedgerAction>;

}
