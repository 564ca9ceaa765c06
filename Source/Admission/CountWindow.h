#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <deque>

namespace Mangofall {

/**
 * \class CountWindow
 * \brief Least and greatest value of a count over the last seconds, to compare it with reports that lag.
 */
class CountWindow
{
public:
    /// Age of the oldest value that is kept.
    static constexpr Duration length = std::chrono::seconds(8);

    /// The count has been \p value since \p now; times may not decrease.
    void record(TimePoint now, std::uint32_t value);

    /// Least value at or after \p since.
    std::uint32_t least(TimePoint since) const;

    /// Greatest value at or after \p since.
    std::uint32_t greatest(TimePoint since) const;

private:
    struct Slot {
        TimePoint start;
        std::uint32_t least = 0;
        std::uint32_t greatest = 0;
        std::uint32_t last = 0;
    };

    std::deque<Slot> m_slots; ///< Oldest first; bounded by length and the slot's length.
};

}
