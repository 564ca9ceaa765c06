#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace Mangofall::Placement {

/**
 * \class WaitForecast
 * \brief Predicts how long demands of one service wait, from the work before them and the work that keeps coming.
 *
 * Demands that can be on time go before those that are late, so late ones get only the time that new work leaves. Demands whose wait is too long are
 * refused at once instead of being held until their deadline.
 */
class WaitForecast
{
public:
    /// A demand that needs \p work of one upstream arrived.
    void offered(Duration work, TimePoint now);

    /// The wait of a demand with \p ahead of work before it.
    Duration wait(Duration ahead, std::size_t upstreams, bool late, TimePoint now) const;

private:
    double offeredShare(TimePoint now) const; ///< Upstreams that the arriving work keeps busy.

    double m_offered = 0; ///< Decayed sum of the work that arrived, in seconds.
    TimePoint m_updatedAt;
};

}
