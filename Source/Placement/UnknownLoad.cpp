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
// Grants that ended are kept for this time. A report is older only if the first event came long after the head of the answer; newer ones follow it.
constexpr std::chrono::milliseconds longestReportAge{1000};

}

void UnknownLoad::granted(const PlacementRequestId &id, TimePoint now)
{
    forgetEnded(now);
    m_running[id] = now;
    ++m_grantedSince;
}

void UnknownLoad::adopted(const PlacementRequestId &id)
{
    m_running[id] = TimePoint::min();
    m_excess -= std::min(m_excess, 1U);
}

void UnknownLoad::ended(const PlacementRequestId &id, TimePoint now)
{
    forgetEnded(now);
    if (const auto grant = m_running.find(id); grant != m_running.end()) {
        m_ended.push_back({grant->second, now});
        m_running.erase(grant);
    }
}

void UnknownLoad::reported(const ReportedLoad &report, TimePoint takenAt, TimePoint now)
{
    if (takenAt < m_takenAt || now >= takenAt + longestReportAge) {
        return;
    }
    std::uint64_t surelyPresent = 0;
    std::uint64_t possiblyPresent = 0;
    std::uint32_t grantedSince = 0;
    for (const auto &[id, grantedAt] : m_running) {
        surelyPresent += grantedAt <= takenAt - reportDelay ? 1 : 0;
        possiblyPresent += grantedAt <= takenAt ? 1 : 0;
        grantedSince += grantedAt > takenAt ? 1 : 0;
    }
    for (const EndedGrant &grant : m_ended) {
        surelyPresent += grant.grantedAt <= takenAt - reportDelay && grant.endedAt >= takenAt + reportDelay ? 1 : 0;
        possiblyPresent += grant.grantedAt <= takenAt && grant.endedAt + reportDelay >= takenAt ? 1 : 0;
        grantedSince += grant.grantedAt > takenAt ? 1 : 0;
    }
    const std::uint64_t present = std::uint64_t{report.running} + report.waiting;
    const auto least = static_cast<std::uint32_t>(present - std::min(present, possiblyPresent));
    const auto most = static_cast<std::uint32_t>(present - std::min(present, surelyPresent));
    m_excess = std::clamp(remaining(m_excess, now), least, most);
    m_grantedSince = grantedSince;
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
    while (!m_ended.empty() && now >= m_ended.front().endedAt + longestReportAge + reportDelay) {
        m_ended.pop_front();
    }
}

}
