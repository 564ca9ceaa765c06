#include "Placement/RetryAfter.h"

#include "Placement/PlacementActions.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// A caller is told to retry after its remaining time divided by this, so that the retry still comes before its deadline.
constexpr double retryParts = 3;
constexpr double retrySpread = 0.25;
constexpr std::uint64_t retrySteps = 256;

}

Duration retryAfter(const PlacementRequest &request, TimePoint now)
{
    const double spread = 1 - retrySpread * static_cast<double>(request.fingerprint % retrySteps) / retrySteps;
    const Duration longest = toDuration(Seconds(request.deadline - now) / retryParts * spread);
    return std::clamp<Duration>(longest, shortestRetryAfter, longestRetryAfter);
}

Duration retryAt(TimePoint start, TimePoint now)
{
    return std::clamp<Duration>(start - now, shortestRetryAfter, longestRetryAfter);
}

Duration quarantineRetryAfter(Duration wait)
{
    return std::clamp<Duration>(wait, shortestRetryAfter, longestRetryAfter);
}

}
