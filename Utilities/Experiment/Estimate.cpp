#include "Experiment/Estimate.h"

#include <cmath>
#include <cstddef>
#include <iterator>
#include <numeric>

namespace Mangofall::Experiment {

namespace {

// The 97.5% quantiles of Student's t distribution for 1 to 30 degrees of freedom.
constexpr double quantiles[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
                                2.120,  2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042};
constexpr double normalQuantile = 1.96;

}

Estimate estimate(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const auto count = static_cast<double>(values.size());
    const double mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
    if (values.size() == 1) {
        return {mean, 0};
    }
    double squaredDeviations = 0;
    for (const double value : values) {
        squaredDeviations += (value - mean) * (value - mean);
    }
    const std::size_t degreesOfFreedom = values.size() - 1;
    const double quantile = degreesOfFreedom <= std::size(quantiles) ? quantiles[degreesOfFreedom - 1] : normalQuantile;
    return {mean, quantile * std::sqrt(squaredDeviations / static_cast<double>(degreesOfFreedom) / count)};
}

}
