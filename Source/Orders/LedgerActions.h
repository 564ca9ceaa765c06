#pragma once

#include "Base/ErrorKind.h"
#include "Orders/OrderRecord.h"
#include "Orders/StoreCalls.h"

#include <variant>
#include <vector>

namespace Mangofall::Orders {

/// The claim is durable; this process may send the order once.
struct ClaimGranted {
    OrderKey key;
    AttemptId attempt;
};

/// The key has been claimed before; \p record holds that claim and, if known, how the order ended.
struct ClaimExists {
    OrderKey key;
    AttemptId attempt; ///< The attempt whose claim is answered.
    OrderRecord record;
    bool owned = true; ///< Whether this process is responsible for resolving the record.
};

/// The claim was not made; this process will not send the order.
struct ClaimRefused {
    OrderKey key;
    AttemptId attempt;
    ErrorKind reason = ErrorKind::StoreUnavailable;
    bool notRun = false; ///< Whether the ledger was read and shows that no other attempt of the order ran.
};

/// Answers WithdrawClaim if the claim has already been sent to the store; ClaimGranted, ClaimExists or ClaimRefused follows.
struct ClaimInFlight {
    OrderKey key;
    AttemptId attempt;
    bool notRun = false; ///< Whether the ledger was read and shows that no other attempt of the order ran.
};

/// The resolution of the order is durable. \p resolution is the earlier one if the order had been resolved before.
struct OrderRecorded {
    OrderKey key;
    OrderResolution resolution;
};

/// This process now owns the shard; the outcome of the former owners' unresolved orders is unknown.
struct OwnershipConfirmed {
    Epoch epoch = 0;
    std::vector<OrderRecord> unresolved;
};

/// Why a process stopped owning a shard.
enum class OwnershipLossReason {
    Fenced, ///< Another owner wrote the head of the shard.
    Revoked, ///< The ownership table names another owner.
    Unreadable, ///< The head has an unknown format; this process did not overwrite it.
};

/// This process no longer owns the shard and sends no more of its orders.
struct OwnershipLost {
    OwnershipLossReason reason = OwnershipLossReason::Fenced;
};

using LedgerAction = std::variant<ReadKey, WriteKey, ClaimGranted, ClaimExists, ClaimRefused, ClaimInFlight, OrderRecorded, OwnershipConfirmed, OwnershipLost>;
using LedgerActions = std::vector<LedgerAction>;

}
