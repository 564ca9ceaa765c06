#pragma once

#include "Base/Time.h"
#include "Placement/PlacementRequest.h"

#include <chrono>

namespace Mangofall::Placement {

constexpr std::chrono::milliseconds shortestRetryAfter{100};
constexpr std::chrono::milliseconds longestRetryAfter{5000};

/// The time after which a caller may repeat a refused request. Requests that are refused at the same time get different times, so that they do not all
/// retry at once.
Duration retryAfter(const PlacementRequest &request, TimePoint now);

/// The time after which a caller may repeat a request that could start at \p start at the earliest.
Duration retryAt(TimePoint start, TimePoint now);

}
