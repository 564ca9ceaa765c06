#include "Placement/RecentSuspects.h"

#include <utility>

namespace Mangofall::Placement {

namespace {

constexpr std::chrono::seconds generationTime{30};
constexpr std::size_t maxGenerationSize = 10'000;

}

void RecentSuspects::add(SuspectId suspect, TimePoint now)
{
    if (now >= m_currentSince + generationTime) {
        m_previous = now < m_currentSince + 2 * generationTime ? std::move(m_current) : std::unordered_set<SuspectId>();
        m_current.clear();
        m_currentSince = now;
    }
    if (m_current.size() < maxGenerationSize) {
        m_current.insert(suspect);
    }
}

bool RecentSuspects::contains(SuspectId suspect, TimePoint now) const
{
    if (now < m_currentSince + generationTime) {
        return m_current.contains(suspect) || m_previous.contains(suspect);
    }
    return now < m_currentSince + 2 * generationTime && m_current.contains(suspect);
}

}
