#include "Placement/UnknownLoad.h"

#include <algorithm>
#include <cmath>

namespace Mangofall::Placement {

namespace {

// An owner that uses an upstream learns of its load with each answer that begins. An owner that takes the upstream for full gets a report when one of its own
// requests there has ended and the next one begins, which takes a part of the time of an answer.
constexpr std::chrono::milliseconds fullTime{1000};
// The count falls to zero over this period. A fall all at once would let all owners grant the whole difference at the same moment.
constexpr std::chrono::milliseconds decayTime{2000};
// Network and processing time between an event at the upstream and its arrival at the owner; hosts that have used up their processor quota take this long.
constexpr std::chrono::milliseconds reportDelay{200};

}

void UnknownLoad::granted(const PlacementRequestId &id, TimePoint now)
{
    forgetEnded(now);
    m_grants.push_back({id, now, TimePoint::max()});
    ++m_grantedSince;
}

void UnknownLoad::adopted(const PlacementRequestId &id)
{
    m_grants.push_back({id, TimePoint::min(), TimePoint::max()});
    m_excess -= std::min(m_excess, 1U);
}

void UnknownLoad::ended(const PlacementRequestId &id, TimePoint now)
{
    for (KnownGrant &grant : m_grants) {
        if (grant.id == id) {
            grant.endedAt = std::min(grant.endedAt, now);
        }
    }
    forgetEnded(now);
}

void UnknownLoad::reported(const ReportedLoad &report, TimePoint takenAt, TimePoint now)
{
    if (takenAt < m_takenAt || now >= takenAt + fullTime + decayTime) {
        return;
    }
    std::uint64_t surelyPresent = 0;
    std::uint64_t possiblyPresent = 0;
    for (const KnownGrant &grant : m_grants) {
        const bool hadArrived = grant.grantedAt <= takenAt - reportDelay;
        const bool notEnded = grant.endedAt == TimePoint::max();
        possiblyPresent += grant.grantedAt <= takenAt && (notEnded || grant.endedAt + reportDelay >= takenAt) ? 1 : 0;
        surelyPresent += hadArrived && (notEnded || grant.endedAt >= takenAt + reportDelay) ? 1 : 0;
    }
    const std::uint64_t present = std::uint64_t{report.running} + report.waiting;
    const auto least = static_cast<std::uint32_t>(present - std::min(present, possiblyPresent));
    const auto most = static_cast<std::uint32_t>(present - std::min(present, surelyPresent));
    m_excess = std::clamp(remaining(m_excess, now), least, most);
    m_grantedSince = static_cast<std::uint32_t>(std::count_if(m_grants.begin(), m_grants.end(), [&](const KnownGrant &grant) {
        return grant.grantedAt > takenAt;
    }));
    m_takenAt = takenAt;
}

std::uint32_t UnknownLoad::requests(TimePoint now) const
{
    return remaining(m_excess + std::min(m_grantedSince, m_excess), now);
}

std::uint32_t UnknownLoad::remaining(std::uint32_t count, TimePoint now) const
{
    const Duration age = now - m_takenAt;
    if (count == 0 || age >= fullTime + decayTime) {
        return 0;
    }
    const double left = 1 - Seconds(std::max<Duration>(age - fullTime, Duration::zero())) / Seconds(decayTime);
    return static_cast<std::uint32_t>(std::ceil(count * left));
}

void UnknownLoad::forgetEnded(TimePoint now)
{
    std::erase_if(m_grants, [&](const KnownGrant &grant) {
        return grant.endedAt != TimePoint::max() && now >= grant.endedAt + fullTime + decayTime + reportDelay;
    });
}

}
