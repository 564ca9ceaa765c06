#pragma once

#include "Base/ErrorKind.h"
#include "Base/Time.h"
#include "Forwarding/AttemptOutcome.h"
#include "Forwarding/RequestKind.h"

#include <cstdint>

namespace Mangofall::Forwarding {

/// What to do after an attempt.
enum class NextStep {
    Deliver, ///< Deliver the upstream's answer to the caller.
    Retry, ///< Send the request to another upstream.
    Refuse, ///< Answer with an error which says that the request has not run and will not run.
    Fail, ///< Answer with an error which says that it is not known whether the request ran.
};

/**
 * \class RetryPolicy
 * \brief Decides after each attempt of one request whether it may be sent again.
 *
 * A request that may run only once is sent again only while every attempt so far is known not to have run.
 */
class RetryPolicy
{
public:
    /// \p repeatable: the request may run more than once. \p maxRuns: most upstreams on which it may run.
    RetryPolicy(bool repeatable, std::uint32_t maxRuns);

    /// Records the outcome of an attempt and returns the next step. \p timeLeft is the time until the request's deadline.
    NextStep decide(AttemptOutcome outcome, Duration timeLeft);

    /// The step after \p outcome if it cannot be Retry, for example because the retry budget is exhausted.
    NextStep withoutRetry(AttemptOutcome outcome) const;

    /// Whether the request may be sent again even if the attempt in progress turns out to have run.
    bool mayRunAgain() const;

    /// Whether any attempt may have run.
    bool mayHaveRun() const;

    /// Whether any attempt reached an upstream, so that a further one draws on the retry budget.
    bool hasReachedUpstream() const;

    /// Number of attempts recorded.
    std::uint32_t attempts() const;

private:
    bool m_repeatable;
    std::uint32_t m_maxRuns;
    std::uint32_t m_runs = 0; ///< Attempts that may have run.
    bool m_reachedUpstream = false;
    std::uint32_t m_attempts = 0;
};

}
