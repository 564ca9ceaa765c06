#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Orders/OrderOutcome.h"

#include <string>

namespace Mangofall::Orders {

/// Event: a caller asks to run an order, for the first time or again.
struct OrderRequest {
    RequestId caller; ///< Names this call; its one AnswerCaller carries it.
    OrderKey key;
    std::string bodyHash; ///< Content hash of the body.
    OrganisationId organisation;
    ServiceId service;
    UpstreamId upstream; ///< Gets the order if this call makes the claim.
    bool hasStatusCall = false;
    bool waits = true; ///< Whether to wait for an order in progress instead of OrderInProgress.
    TimePoint deadline;
    WallTime receivedAt{}; ///< Kept in the claim for operators.
};

enum class UpstreamResult {
    Answered, ///< The order ran; the outcome is set.
    Refused, ///< The upstream refused before any work.
    Broken, ///< The connection broke or timed out; the order may have run.
};

/// Event: the answer to SendOrder, or a former owner's ForwardOutcome.
struct UpstreamAnswered {
    OrderKey key;
    AttemptId attempt;
    UpstreamResult result = UpstreamResult::Broken;
    OrderOutcome outcome;
};

enum class StatusResult {
    Ran, ///< The outcome is set.
    CannotRun, ///< The order did not run and cannot run any more, even if its bytes arrive later.
    NoAnswer, ///< No answer, or the upstream cannot tell yet.
};

/// Event: the answer to CallStatus.
struct StatusAnswered {
    OrderKey key;
    AttemptId attempt;
    StatusResult result = StatusResult::NoAnswer;
    OrderOutcome outcome;
};

/// Event: an operator settles an unknown order.
struct OperatorDecided {
    OrderKey key;
    bool ran = false;
    OrderOutcome outcome; ///< What retries of the caller get if it ran.
};

}
