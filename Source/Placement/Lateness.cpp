#include "Placement/Lateness.h"

#include <algorithm>
#include <cmath>

namespace Mangofall::Placement {

namespace {

// Times between upstream, entry host and owner that say nothing about the upstream; a host that has used up its processor quota takes this long.
constexpr std::chrono::milliseconds tolerance{100};
constexpr double largestRatio = 8;
// About the last eight late answers count, but fewer answers in time show that the upstream has recovered.
constexpr double lateWeight = 0.125;
constexpr double timelyWeight = 0.25;
// Without answers the level halves in this time.
constexpr std::chrono::seconds halfLife{3};
// Levels up to this one are normal variation: a single answer of any lateness raises the level to no more than 0.375.
constexpr double normalLevel = 0.4;
// The factor of this share of the upstreams counts as common to all.
constexpr std::size_t commonDivisor = 4;

}

void Lateness::record(Duration estimate, Duration elapsed, TimePoint now)
{
    if (estimate <= Duration::zero()) {
        return;
    }
    const double ratio = std::clamp(Seconds(elapsed - tolerance) / Seconds(estimate), 1.0, largestRatio);
    const double sample = std::log2(ratio);
    const double level = decayed(now);
    m_level = level + (sample > level ? lateWeight : timelyWeight) * (sample - level);
    m_updatedAt = now;
}

double Lateness::factor(TimePoint now) const
{
    return std::exp2(std::max(decayed(now) - normalLevel, 0.0));
}

double Lateness::decayed(TimePoint now) const
{
    return m_level == 0 ? 0 : m_level * std::exp2(-(Seconds(now - m_updatedAt) / Seconds(halfLife)));
}

double relativeFactor(double factor, std::vector<double> all)
{
    if (all.empty()) {
        return 1;
    }
    const auto common = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / commonDivisor);
    std::nth_element(all.begin(), common, all.end());
    return std::max(factor / *common, 1.0);
}

}
