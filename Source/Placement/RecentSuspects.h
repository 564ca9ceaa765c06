#pragma once

#include "Base/Time.h"
#include "Placement/SuspectState.h"

#include <unordered_set>

namespace Mangofall::Placement {

/**
 * \class RecentSuspects
 * \brief A set of suspects that forgets each after a minute or less. The number that it keeps is limited; beyond it, new ones are left out.
 */
class RecentSuspects
{
public:
    void add(SuspectId suspect, TimePoint now);
    bool contains(SuspectId suspect, TimePoint now) const;

private:
    std::unordered_set<SuspectId> m_current;
    std::unordered_set<SuspectId> m_previous;
    TimePoint m_currentSince;
};

}
