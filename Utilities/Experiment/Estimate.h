#pragma once

#include <vector>

namespace Mangofall::Experiment {

/// A mean over runs and the half width of its 95% confidence interval.
struct Estimate {
    double mean = 0;
    double margin = 0;
};

/// The mean of \p values, which are results of independent runs, with its confidence interval. A single value gets a margin of 0.
Estimate estimate(const std::vector<double> &values);

}
