#pragma once

#include "Base/Time.h"
#include "Placement/GrantOutcome.h"

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class FailureRecord
 * \brief Records how recent grants at one upstream ended and decides whether to avoid the upstream.
 *
 * Health checks can be wrong in both directions, so only the outcomes of real requests count. An avoided upstream gets one request as a probe after
 * each pause, so that a healthy one returns to use without intervention.
 */
class FailureRecord
{
public:
    void record(GrantOutcome outcome, TimePoint now);

    /// Records that the upstream was granted. After a failure this grant is a probe: the upstream is avoided until the outcome is known or its time is
    /// over.
    void granted(TimePoint now);

    /// Records that a request at the upstream has got its first event, which ends a probe with success.
    void responded();

    /// Returns whether the upstream shall be granted only if there is no other.
    bool avoided(TimePoint now) const;

    /// The share of recent grants that failed, between 0 and 1.
    double failureShare() const;

    /// The cost that the failures add to choosing the upstream; far above all other costs while the upstream is avoided.
    double cost(TimePoint now) const;

private:
    void avoidFor(Duration pause, TimePoint now);

    double m_failureShare = 0;
    std::uint32_t m_consecutive = 0;
    TimePoint m_avoidUntil;
    TimePoint m_probedUntil; ///< End of the time in which the outcome of the present probe is awaited.
};

}
