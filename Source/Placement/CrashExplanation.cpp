#include "Placement/CrashExplanation.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Placement {

CrashExplanation::CrashExplanation(std::vector<CrashId> crashes, std::vector<TimePoint> times)
    : m_crashes(std::move(crashes))
    , m_times(std::move(times))
{
    std::sort(m_crashes.begin(), m_crashes.end());
    std::sort(m_times.begin(), m_times.end());
}

bool CrashExplanation::includes(CrashId crash) const
{
    return std::binary_search(m_crashes.begin(), m_crashes.end(), crash);
}

bool CrashExplanation::includesMoment(TimePoint time, Duration moment) const
{
    const auto first = std::upper_bound(m_times.begin(), m_times.end(), time - moment);
    return first != m_times.end() && *first < time + moment;
}

}
