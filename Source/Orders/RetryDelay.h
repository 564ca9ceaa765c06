#pragma once

#include "Base/Time.h"

#include <algorithm>

namespace Mangofall::Orders {

/**
 * \class RetryDelay
 * \brief A retry delay that doubles from a first value up to a maximum until it is reset.
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

    /// Returns the delay before the next retry and doubles the one after it, up to the maximum.
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
