#pragma once

#include "Base/Time.h"

#include <array>
#include <cstddef>

namespace Mangofall::Placement {

/**
 * \class WaitingWork
 * \brief The work of waiting placement requests by size, to tell how much of it goes before a request.
 *
 * Work is measured in upstream time. A small request can be placed before large ones that cannot be placed yet, so only requests of up to about its
 * own size delay it.
 */
class WaitingWork
{
public:
    void clear();
    void add(Duration work);
    /// The part of the work added so far that delays a request with \p work.
    Duration ahead(Duration work) const;
    bool empty() const;

private:
    static constexpr std::size_t sizeClasses = 24; // Classes by powers of two of a millisecond; the last one exceeds an hour.

    static std::size_t sizeClass(Duration work);

    std::array<Duration, sizeClasses> m_work{};
    bool m_empty = true;
};

}
