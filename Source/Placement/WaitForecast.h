#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace Mangofall::Placement {

/**
 * \class WaitForecast
 * \brief Predicts how long placement requests of one service wait, from the work before them and the rate of arriving work.
 *
 * Work is measured in upstream time. Requests that can still be on time go before late ones, so late ones get only the capacity that newly arriving
 * work leaves. The forecast lets the owner refuse a request whose wait is too long at once instead of letting it wait until its deadline.
 */
class WaitForecast
{
public:
    /// Records the arrival of a request that takes \p work of upstream time.
    void recordArrival(Duration work, TimePoint now);

    /// The expected wait of a request that has \p ahead of work before it. \p upstreams is the number of upstreams of the service; \p late requests get
    /// only the capacity that arriving work leaves.
    Duration wait(Duration ahead, std::size_t upstreams, bool late, TimePoint now) const;

private:
    double arrivalLoad(TimePoint now) const; ///< Number of upstreams that the arriving work keeps busy.

    double m_arrivedWork = 0; ///< Exponentially decayed sum of the arrived work, in seconds.
    TimePoint m_updatedAt;
};

}
