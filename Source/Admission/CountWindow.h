#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <deque>

namespace Mangofall {

/**
 * \class CountWindow
 * \brief Minimum and maximum of a count over the last seconds, to compare the count with reports that lag behind.
 */
class CountWindow
{
public:
    /// The age up to which values are kept.
    static constexpr Duration length = std::chrono::seconds(8);

    /// Records that the count is \p value from \p now on. Times must not decrease.
    void record(TimePoint now, std::uint32_t value);

    /// The minimum at or after \p since; 0 if \p since is before the first recorded value that is kept.
    std::uint32_t minimum(TimePoint since) const;

    /// The maximum at or after \p since among the values that are kept.
    std::uint32_t maximum(TimePoint since) const;

private:
    struct Slot {
        TimePoint start;
        std::uint32_t minimum = 0;
        std::uint32_t maximum = 0;
        std::uint32_t last = 0;
    };

    std::deque<Slot> m_slots; ///< Oldest first; bounded in number by length and the length of a slot.
};

}
