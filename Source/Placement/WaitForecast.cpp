#include "Placement/WaitForecast.h"

#include <algorithm>
#include <cmath>

namespace Mangofall::Placement {

namespace {

// Time constant of the average over arrived work. A single prompt that exceeds one engine's memory takes up to a minute of engine time and must not look
// like overload.
constexpr std::chrono::seconds averagingTime{8};
// Upstreams cannot be fully used: prefills wait for iterations, and the pause limits of requests in decode are kept.
constexpr double usableShare = 0.85;
// The arrival rate may fall again, so late requests are refused only if even this free share of the upstreams would not suffice.
constexpr double leastFreeShare = 0.15;

}

void WaitForecast::recordArrival(Duration work, TimePoint now)
{
    m_arrivedWork = m_arrivedWork * std::exp(-Seconds(now - m_updatedAt) / Seconds(averagingTime)) + Seconds(work).count();
    m_updatedAt = now;
}

Duration WaitForecast::wait(Duration ahead, std::size_t upstreams, bool late, TimePoint now) const
{
    const double usable = usableShare * static_cast<double>(upstreams);
    if (upstreams == 0) {
        return Duration::max();
    }
    const double free = late ? std::max(usable - arrivalLoad(now), leastFreeShare * usable) : usable;
    return toDuration(Seconds(ahead) / free);
}

double WaitForecast::arrivalLoad(TimePoint now) const
{
    return m_arrivedWork * std::exp(-Seconds(now - m_updatedAt) / Seconds(averagingTime)) / Seconds(averagingTime).count();
}

}
