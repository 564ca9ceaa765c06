#pragma once

namespace Mangofall::Forwarding {

/// What is known about whether a request ran in one attempt.
enum class AttemptOutcome {
    NotSent, ///< No byte was sent to the upstream.
    NotExecuted, ///< The upstream proved that the request did not run and never will.
    MayHaveRun, ///< Sent, but no whole answer was received.
    Failed, ///< Ran, and the upstream answered with an error.
    Answered, ///< Ran, and the whole answer was received.
};

}
