#pragma once

#include "Base/ErrorKind.h"
#include "Base/Time.h"
#include "Forwarding/AttemptOutcome.h"
#include "Forwarding/RequestKind.h"

#include <cstdint>

namespace Mangofall::Forwarding {

/// What the next step after a transmission is.
enum class NextStep {
    Deliver, ///< Hand the upstream's answer to the caller.
    Retry, ///< Send the request to another upstream.
    Refuse, ///< Answer that the request has not run and will not run.
    Fail, ///< Answer that it is not known whether the request ran.
};

/**
 * \class RetryPolicy
 * \brief Decides after each transmission of one request whether it may be sent again.
 *
 * A request that may run only once is sent again only while every transmission so far is known not to have run.
 */
class RetryPolicy
{
public:
    /// \p repeatable: the request may run more than once. \p maxRuns bounds the upstreams on which it may run.
    RetryPolicy(bool repeatable, std::uint32_t maxRuns);

    /// Records \p outcome. \p timeLeft is the time to the caller's deadline.
    NextStep decide(AttemptOutcome outcome, Duration timeLeft);

    /// The step after \p outcome if it cannot be Retry, for example because the retry budget is spent.
    NextStep withoutRetry(AttemptOutcome outcome) const;

    /// Whether the request may be sent again if the transmission in progress may have run.
    bool mayRunAgain() const;

    /// Whether some transmission may have run.
    bool mayHaveRun() const;

    /// Whether some transmission reached an upstream, so that a further one draws on the retry budget.
    bool hasArrived() const;

    std::uint32_t transmissions() const;

private:
    bool m_repeatable;
    std::uint32_t m_maxRuns;
    std::uint32_t m_runs = 0;
    bool m_arrived = false;
    std::uint32_t m_transmissions = 0;
};

}
