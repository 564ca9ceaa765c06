#pragma once

#include "Base/Time.h"
#include "Placement/SuspectState.h"

#include <optional>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class CrashExplanation
 * \brief The crashes that count against some suspects, to look up whether they explain those of another one.
 *
 * A lookup takes logarithmic time, because a request may have thousands of suspects and as many may be held.
 */
class CrashExplanation
{
public:
    /// \p crashes and \p times may be in any order and repeat.
    CrashExplanation(std::vector<CrashId> crashes, std::vector<TimePoint> times);

    /// Whether the crash is one of them.
    bool includes(CrashId crash) const;
    /// Whether one of them came less than \p moment before or after \p time.
    bool includesMoment(TimePoint time, Duration moment) const;

private:
    std::vector<CrashId> m_crashes; ///< Ascending.
    std::vector<TimePoint> m_times; ///< Ascending.
};

}
