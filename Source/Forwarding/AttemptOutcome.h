#pragma once

namespace Mangofall::Forwarding {

/// What is known of one attempt, in which a request is sent to one upstream once.
enum class AttemptOutcome {
    NotSent, ///< No byte reached the upstream.
    NotExecuted, ///< The upstream proved that the request did not run and never will.
    MayHaveRun, ///< Sent, without a whole answer.
    Failed, ///< Ran, and the upstream's own answer is an error.
    Answered, ///< Ran, and the answer is whole.
};

}
