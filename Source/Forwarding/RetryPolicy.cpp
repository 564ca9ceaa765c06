#include "Forwarding/RetryPolicy.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Bounds the attempts of one request, also when upstreams refuse without running it.
constexpr std::uint32_t maxAttempts = 6;
constexpr std::chrono::milliseconds minTimeToRetry{30};

}

RetryPolicy::RetryPolicy(bool repeatable, std::uint32_t maxRuns)
    : m_repeatable(repeatable)
    , m_maxRuns(std::max(maxRuns, 1U))
{
}

NextStep RetryPolicy::decide(AttemptOutcome outcome, Duration timeLeft)
{
    if (outcome == AttemptOutcome::Answered) {
        return NextStep::Deliver;
    }
    ++m_attempts;
    m_reachedUpstream = m_reachedUpstream || outcome != AttemptOutcome::NotSent;
    const bool ran = outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::Failed;
    m_runs += ran ? 1 : 0;
    if (ran && (!m_repeatable || m_runs >= m_maxRuns)) {
        return withoutRetry(outcome);
    }
    if (timeLeft < minTimeToRetry || m_attempts >= maxAttempts) {
        return withoutRetry(outcome);
    }
    return NextStep::Retry;
}

bool RetryPolicy::mayRunAgain() const
{
    return m_repeatable && m_runs + 1 < m_maxRuns && m_attempts + 1 < maxAttempts;
}

bool RetryPolicy::mayHaveRun() const
{
    return m_runs > 0;
}

bool RetryPolicy::hasReachedUpstream() const
{
    return m_reachedUpstream;
}

std::uint32_t RetryPolicy::attempts() const
{
    return m_attempts;
}

NextStep RetryPolicy::withoutRetry(AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::Failed) {
        return NextStep::Deliver;
    }
    return mayHaveRun() ? NextStep::Fail : NextStep::Refuse;
}

}
