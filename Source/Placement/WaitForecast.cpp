#include "Placement/WaitForecast.h"

#include <algorithm>
#include <cmath>

namespace Mangofall::Placement {

namespace {

// Arrivals of about this time count: a single prompt beyond one engine's memory takes up to a minute of engine time and must not look like overload.
constexpr std::chrono::seconds memory{8};
// Upstreams cannot be filled without gaps: reads wait for passes, and pauses of writers are kept.
constexpr double usableShare = 0.85;
// Rates fall again; late demands are refused only if even this share would not do.
constexpr double leastFreeShare = 0.15;

}

void WaitForecast::offered(Duration work, TimePoint now)
{
    m_offered = m_offered * std::exp(-Seconds(now - m_updatedAt) / Seconds(memory)) + Seconds(work).count();
    m_updatedAt = now;
}

Duration WaitForecast::wait(Duration ahead, std::size_t upstreams, bool late, TimePoint now) const
{
    const double usable = usableShare * static_cast<double>(upstreams);
    if (upstreams == 0) {
        return Duration::max();
    }
    const double free = late ? std::max(usable - offeredShare(now), leastFreeShare * usable) : usable;
    return toDuration(Seconds(ahead) / free);
}

double WaitForecast::offeredShare(TimePoint now) const
{
    return m_offered * std::exp(-Seconds(now - m_updatedAt) / Seconds(memory)) / Seconds(memory).count();
}

}
