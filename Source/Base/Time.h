#pragma once

#include <chrono>

namespace Mangofall {

/// Monotonic time; every state machine takes it as an argument and never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// Calendar time, for durable records only; it may jump.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A duration as a floating-point number of seconds, for rates and estimates.
using Seconds = std::chrono::duration<double>;

/// Converts fractional \p seconds to a Duration, rounding towards zero.
constexpr Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

}
