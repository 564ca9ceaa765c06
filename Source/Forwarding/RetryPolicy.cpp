#include "Forwarding/RetryPolicy.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Upstreams that refuse without running the request are tried at most this often.
constexpr std::uint32_t maxTransmissions = 6;
constexpr std::chrono::milliseconds leastTimeToRetry{30};

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
    ++m_transmissions;
    m_arrived = m_arrived || outcome != AttemptOutcome::NotSent;
    const bool ran = outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::Failed;
    m_runs += ran ? 1 : 0;
    if (ran && (!m_repeatable || m_runs >= m_maxRuns)) {
        return withoutRetry(outcome);
    }
    if (timeLeft < leastTimeToRetry || m_transmissions >= maxTransmissions) {
        return withoutRetry(outcome);
    }
    return NextStep::Retry;
}

bool RetryPolicy::mayRunAgain() const
{
    return m_repeatable && m_runs + 1 < m_maxRuns && m_transmissions + 1 < maxTransmissions;
}

bool RetryPolicy::mayHaveRun() const
{
    return m_runs > 0;
}

bool RetryPolicy::hasArrived() const
{
    return m_arrived;
}

std::uint32_t RetryPolicy::transmissions() const
{
    return m_transmissions;
}

NextStep RetryPolicy::withoutRetry(AttemptOutcome outcome) const
{
    if (outcome == AttemptOutcome::Failed) {
        return NextStep::Deliver;
    }
    return mayHaveRun() ? NextStep::Fail : NextStep::Refuse;
}

}
