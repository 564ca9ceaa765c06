#pragma once

#include "Base/ErrorKind.h"
#include "Orders/LedgerActions.h"
#include "Orders/LedgerEvents.h"
#include "Orders/OrderEvents.h"

#include <optional>
#include <variant>
#include <vector>

namespace Mangofall::Orders {

/// Sends the body that \p caller delivered to the upstream, once.
struct SendOrder {
    OrderKey key;
    AttemptId attempt;
    UpstreamId upstream;
    RequestId caller;
};

/// Asks the upstream what became of the order.
struct CallStatus {
    OrderKey key;
    AttemptId attempt;
    ServiceId service;
    UpstreamId upstream;
};

/// The one answer to an OrderRequest.
struct AnswerCaller {
    RequestId caller;
    OrderKey key;
    ErrorKind error = ErrorKind::None;
    bool notRun = false;
    std::optional<OrderOutcome> outcome; ///< Set if error is None.
};

/// Tells the shard's new owner what the upstream answered to this former owner.
struct ForwardOutcome {
    UpstreamAnswered answer;
};

enum class DecisionResult {
    Recorded, ///< The decision is durable.
    NotUnknown, ///< The order is in progress, resolved otherwise, or not in this shard.
    NotOwner, ///< Ownership was lost before the decision was durable; it may be repeated at the new owner.
};

/// Answers OperatorDecided, once the decision is durable or cannot become so here.
struct DecisionAnswered {
    OrderKey key;
    DecisionResult result = DecisionResult::NotUnknown;
};

using ProcessorAction = std::variant<ClaimOrder, WithdrawClaim, ResolveOrder, SendOrder, CallStatus, AnswerCaller, ForwardOutcome, DecisionAnswered>;
using ProcessorActions = std::vector<ProcessorAction>;

using OrderAction = std::variant<ReadKey, WriteKey, SendOrder, CallStatus, AnswerCaller, ForwardOutcome, DecisionAnswered, OwnershipConfirmed, OwnershipLost>;
using OrderActions = std::vector<OrderAction>;

}
