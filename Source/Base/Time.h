#pragma once

#include <chrono>

namespace Mangofall {

/// Monotonic time; state machines take it as an argument and never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// Wall-clock time; only for stored records, because it may jump.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A duration as a floating-point number of seconds, for rates and estimates.
using Seconds = std::chrono::duration<double>;

/// Converts fractional \p seconds to a Duration, rounding towards zero.
constexpr Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

}
