#pragma once

#include "Base/Time.h"

#include <vector>

namespace Mangofall::Placement {

/**
 * \class Lateness
 * \brief Estimates by which factor one upstream is slower than the estimates of its first events.
 *
 * The factor follows the recent answers slowly, so that a single late answer changes little. It is bounded, and it decays without answers, so that an
 * upstream that gets no requests because it is slow is tried again.
 */
class Lateness
{
public:
    /// Records a first event that came \p elapsed after the grant, where \p estimate was expected without a factor. Ignored if the estimate is zero.
    void record(Duration estimate, Duration elapsed, TimePoint now);

    /// The factor on estimates for the upstream; 1 if it is not slow.
    double factor(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double m_level = 0; ///< Mean of the binary logarithms of the recent ratios of time and estimate, at m_updatedAt.
    TimePoint m_updatedAt;
};

/// The part of \p factor that distinguishes an upstream from the other upstreams of its service, whose factors are \p all. If most of them are late, then the
/// estimates are wrong or the whole service is overloaded, and no upstream deserves less than the others. At least 1.
double relativeFactor(double factor, std::vector<double> all);

}
