#pragma once

#include <vector>

namespace Mangofall::Experiment {

/// A mean over runs with the half width of its 95% confidence interval.
struct Estimate {
    double mean = 0;
    double margin = 0;
};

/// \p values are results of independent runs.
Estimate estimate(const std::vector<double> &values);

}
