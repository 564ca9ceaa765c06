#include "Routing/LongShareAllocator.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Mangofall {

namespace {

// Compared with shortWeight 0.5, shortWeight 0 multiplies the ratio of designated upstreams to others by e to this power, and shortWeight 1 divides it by as
// much. With an exponent of 1, shortWeight 1 overloaded the designated upstreams at 70% load, and long prompts waited until their deadlines.
constexpr double weightExponent = 0.4;
// The number of designated upstreams changes only if it differs from the target by more than this, so that noise in the traffic does not move prompts to other
// upstreams.
constexpr double hysteresis = 0.75;

}

LongShareAllocator::LongShareAllocator(double shortWeight, double minLongShare)
    : m_shortWeight(std::clamp(shortWeight, 0.0, 1.0))
    , m_minLongShare(std::clamp(minLongShare, 0.0, 1.0))
{
}

double LongShareAllocator::longShare(double longWorkShare) const
{
    const double scaled = longWorkShare * std::exp(weightExponent * (1 - 2 * m_shortWeight));
    return std::max(m_minLongShare, scaled / (scaled + 1 - longWorkShare));
}

void LongShareAllocator::assign(std::span<UpstreamView> views, double longWorkShare)
{
    std::vector<std::pair<std::uint64_t, UpstreamView *>> ranked;
    for (UpstreamView &view : views) {
        view.designatedForLong = false;
        if (acceptsWork(view.state)) {
            ranked.emplace_back(rendezvousScore("long", view.id.value()), &view);
        }
    }
    if (ranked.empty()) {
        return;
    }
    std::sort(ranked.begin(), ranked.end());
    const double target = longShare(longWorkShare) * static_cast<double>(ranked.size());
    if (std::abs(target - static_cast<double>(m_longUpstreamCount)) > hysteresis) {
        m_longUpstreamCount = static_cast<std::size_t>(std::lround(target));
    }
    m_longUpstreamCount = std::clamp<std::size_t>(m_longUpstreamCount, 1, ranked.size());
    for (std::size_t index = 0; index < m_longUpstreamCount; ++index) {
        ranked[index].second->designatedForLong = true;
    }
}

bool LongShareAllocator::hasNoLongWork(const UpstreamView &view)
{
    return view.prefillTokens(LengthClass::Long) == 0;
}

}
