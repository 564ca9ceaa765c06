#pragma once

#include "Base/ErrorKind.h"
#include "Orders/LedgerActions.h"
#include "Orders/LedgerEvents.h"
#include "Orders/OrderEvents.h"

#include <optional>
#include <variant>
#include <vector>

namespace Mangofall::Orders {

/// Action: send the body of the request \p caller to the upstream once.
struct SendOrder {
    OrderKey key;
    AttemptId attempt;
    UpstreamId upstream;
    RequestId caller;
};

/// Action: ask the upstream with its status call whether the order ran and with which outcome.
struct CallStatus {
    OrderKey key;
    AttemptId attempt;
    ServiceId service;
    UpstreamId upstream;
};

/// Action: answer an OrderRequest. Each request gets exactly one answer.
struct AnswerCaller {
    RequestId caller;
    OrderKey key;
    ErrorKind error = ErrorKind::None;
    bool notRun = false;
    std::optional<OrderOutcome> outcome; ///< Set if error is None.
};

/// Action: forward the upstream's answer from this former owner to the new owner of the shard.
struct ForwardOutcome {
    UpstreamAnswered answer;
};

/// What became of an operator's decision.
enum class DecisionResult {
    Recorded, ///< The decision is durable.
    NotUnknown, ///< The order needs no decision: it is in progress, resolved otherwise or not in this shard.
    NotOwner, ///< Ownership was lost before the decision was durable; the operator may repeat it at the new owner.
};

/// Action: answer OperatorDecided once the decision is durable or cannot become durable in this process.
struct DecisionAnswered {
    OrderKey key;
    DecisionResult result = DecisionResult::NotUnknown;
};

using ProcessorAction = std::variant<ClaimOrder, WithdrawClaim, ResolveOrder, SendOrder, CallStatus, AnswerCaller, ForwardOutcome, DecisionAnswered>;
using ProcessorActions = std::vector<ProcessorAction>;

using OrderAction = std::variant<ReadKey, WriteKey, SendOrder, CallStatus, AnswerCaller, ForwardOutcome, DecisionAnswered, OwnershipConfirmed, OwnershipLost>;
using OrderActions = std::vector<OrderAction>;

}
