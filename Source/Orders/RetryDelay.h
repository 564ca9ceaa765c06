#pragma once

#include "Base/Time.h"

#include <algorithm>

namespace Mangofall::Orders {

/**
 * \class RetryDelay
 * \brief Delay that doubles from a first value up to a largest one until reset.
 */
class RetryDelay
{
public:
    RetryDelay(Duration first, Duration largest)
        : m_first(first)
        , m_largest(largest)
        , m_next(first)
    {
    }

    /// The delay before the next retry.
    Duration take()
    {
        const Duration delay = m_next;
        m_next = std::min(m_next * 2, m_largest);
        return delay;
    }

    void reset()
    {
        m_next = m_first;
    }

private:
    Duration m_first;
    Duration m_largest;
    Duration m_next;
};

}
