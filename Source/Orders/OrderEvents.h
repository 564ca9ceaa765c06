#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Orders/OrderOutcome.h"

#include <string>

namespace Mangofall::Orders {

/// Event: a caller requests an order, for the first time or as a retry.
struct OrderRequest {
    RequestId caller; ///< Identifies this request; the AnswerCaller for it carries the same id.
    OrderKey key;
    std::string bodyHash; ///< Content hash of the request body.
    OrganisationId organisation;
    ServiceId service;
    UpstreamId upstream; ///< The upstream that the order is sent to if this request makes the claim.
    bool hasStatusCall = false;
    bool waits = true; ///< Whether to wait for an order in progress instead of answering OrderInProgress.
    TimePoint deadline;
    WallTime receivedAt{}; ///< When the request arrived; stored in the claim so that operators can see it.
};

/// How the upstream answered an order.
enum class UpstreamResult {
    Answered, ///< The order ran; the outcome is set.
    Refused, ///< The upstream refused the order before it did any work.
    Broken, ///< The connection broke or timed out; the order may have run.
};

/// Event: the answer to SendOrder, or an answer that a former owner sent with ForwardOutcome.
struct UpstreamAnswered {
    OrderKey key;
    AttemptId attempt;
    UpstreamResult result = UpstreamResult::Broken;
    OrderOutcome outcome;
};

/// How the upstream answered a status call.
enum class StatusResult {
    Ran, ///< The order ran; the outcome is set.
    CannotRun, ///< The order did not run and cannot run any more, even if the request reaches the upstream later.
    NoAnswer, ///< The upstream did not answer or does not know yet.
};

/// Event: the answer to CallStatus.
struct StatusAnswered {
    OrderKey key;
    AttemptId attempt;
    StatusResult result = StatusResult::NoAnswer;
    OrderOutcome outcome;
};

/// Event: an operator resolves an order of unknown outcome.
struct OperatorDecided {
    OrderKey key;
    bool ran = false;
    OrderOutcome outcome; ///< The answer to the caller's retries if the order ran.
};

}
