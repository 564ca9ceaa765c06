#include "Placement/FailureRecord.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// Weight of the newest outcome in the moving average of the failure share: about the last eight outcomes count.
constexpr double newestWeight = 0.125;
// Above this share, using the upstream costs more than retrying elsewhere.
constexpr double tolerableShare = 0.3;
constexpr std::chrono::milliseconds firstPause{500};
constexpr std::chrono::milliseconds longestPause{4000};
// A probe shows within this time whether the upstream is back. Its end is not awaited, because a stream completes much later.
constexpr std::chrono::milliseconds probeTime{600};
// A full upstream has a free slot again after about the time of one answer.
constexpr std::chrono::milliseconds rejectedPause{100};
constexpr std::uint32_t maxDoublings = 3;
constexpr double failureCost = 2;
constexpr double avoidedCost = 10;

bool isUnusable(GrantOutcome outcome)
{
    return outcome == GrantOutcome::Unreachable || outcome == GrantOutcome::Silent || outcome == GrantOutcome::Broken || outcome == GrantOutcome::Malformed;
}

}

void FailureRecord::record(GrantOutcome outcome, TimePoint now)
{
    if (outcome == GrantOutcome::Cancelled || outcome == GrantOutcome::Unused) {
        return;
    }
    if (outcome == GrantOutcome::Rejected) {
        avoidFor(rejectedPause, now);
        return;
    }
    if (outcome == GrantOutcome::WrongUpstream) {
        avoidFor(longestPause, now);
        return;
    }
    const bool unusable = isUnusable(outcome);
    const bool failed = unusable || outcome == GrantOutcome::Failed;
    m_failureShare += newestWeight * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (!failed) {
        m_consecutive = 0;
        m_probedUntil = TimePoint();
        return;
    }
    ++m_consecutive;
    if (unusable || m_consecutive > 1 || m_failureShare > tolerableShare) {
        const std::uint32_t doublings = std::min(m_consecutive - 1, maxDoublings);
        avoidFor(std::min<Duration>(longestPause, firstPause * (1U << doublings)), now);
    }
}

void FailureRecord::granted(TimePoint now)
{
    if (m_consecutive > 0) {
        m_probedUntil = now + probeTime;
    }
}

void FailureRecord::responded()
{
    m_probedUntil = TimePoint();
}

bool FailureRecord::avoided(TimePoint now) const
{
    return now < m_avoidUntil || now < m_probedUntil;
}

double FailureRecord::failureShare() const
{
    return m_failureShare;
}

double FailureRecord::cost(TimePoint now) const
{
    return m_failureShare * failureCost + (avoided(now) ? avoidedCost : 0);
}

void FailureRecord::avoidFor(Duration pause, TimePoint now)
{
    m_avoidUntil = std::max(m_avoidUntil, now + pause);
}

}
