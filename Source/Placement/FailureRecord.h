#pragma once

#include "Base/Time.h"
#include "Placement/GrantOutcome.h"

#include <cstdint>
#include <optional>

namespace Mangofall::Placement {

/**
 * \class FailureRecord
 * \brief Remembers how the recent work of one upstream ended and decides whether to avoid the upstream.
 *
 * Health checks can lie in both directions, so only answers to real work count. An upstream that is avoided gets one request after each pause, so
 * that a sound one comes back by itself.
 */
class FailureRecord
{
public:
    void record(GrantOutcome outcome, TimePoint now);

    /// The upstream got work. After a failure this is a probe: no more follows until its outcome is known or should be.
    void granted(TimePoint now);

    /// A request that the upstream got has its first piece: the upstream is back.
    void answers();

    /// Whether the upstream gets work only if there is no other.
    bool avoided(TimePoint now) const;

    /// Whether work granted at \p grantedAt went to an upstream that had broken down before and not answered since.
    bool wasDown(TimePoint grantedAt) const;

    /// Share of recent work that failed, between 0 and 1.
    double failureShare() const;

    /// What its failures add to the cost of a choice; far above all other costs while it is avoided.
    double cost(TimePoint now) const;

private:
    void avoidFor(Duration pause, TimePoint now);

    double m_failureShare = 0;
    std::uint32_t m_consecutive = 0;
    TimePoint m_avoidUntil;
    std::optional<TimePoint> m_downSince; ///< The first failure to answer at all since the last answer.
    TimePoint m_probedUntil; ///< A probe is under way until then.
};

}
