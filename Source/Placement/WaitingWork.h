#pragma once

#include "Base/Time.h"

#include <array>
#include <cstddef>

namespace Mangofall::Placement {

/**
 * \class WaitingWork
 * \brief The work of waiting demands by size, to tell how much of it goes before a demand.
 *
 * A small demand passes large ones that cannot be placed yet, so only demands of about its own size or smaller delay it.
 */
class WaitingWork
{
public:
    void clear();
    void add(Duration work);
    /// The work added so far that delays a demand with \p work.
    Duration ahead(Duration work) const;
    bool empty() const;

private:
    static constexpr std::size_t sizeClasses = 24; // Powers of two of a millisecond; the last one exceeds an hour.

    static std::size_t sizeClass(Duration work);

    std::array<Duration, sizeClasses> m_work{};
    bool m_empty = true;
};

}
