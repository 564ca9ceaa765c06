#include "Placement/LeavingShare.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// In units of the request's target: a difference of waits that callers do not notice, and that the waits exceed by chance.
constexpr double band = 0.1;
// The share rises faster than it falls: a queue at home costs callers their target, while a request that leaves needlessly costs only its price.
constexpr double risePerSecond = 1;
constexpr double fallPerSecond = 0.2;
// Updates come several times a second; after a longer time without one the waits are new.
constexpr std::chrono::seconds longestStep{1};

}

LeavingShare::LeavingShare(double maxShare)
    : m_maxShare(maxShare)
{
}

void LeavingShare::update(const LeavingPrice &price, double excess, TimePoint now)
{
    const double elapsed = Seconds(std::clamp<Duration>(now - m_updatedAt, Duration::zero(), longestStep)).count();
    m_updatedAt = now;
    const double balance = price.gain - price.cost;
    if (balance > band) {
        m_leaving = true;
    } else if (balance < -band) {
        m_leaving = false;
    }
    const double wanted = m_leaving ? std::clamp(excess, 0.0, m_maxShare) : 0;
    m_share = std::clamp(wanted, m_share - fallPerSecond * elapsed, m_share + risePerSecond * elapsed);
}

void LeavingShare::setNoUpstream(TimePoint now)
{
    m_share = 1;
    m_updatedAt = now;
}

double LeavingShare::value() const
{
    return m_share;
}

}
