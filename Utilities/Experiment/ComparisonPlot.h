#pragma once

#include <string>

namespace Mangofall::Experiment {

class Comparison;

/// An SVG bar chart of the credit of each policy in each scenario, with 95% confidence intervals.
std::string comparisonPlot(const Comparison &comparison);

}
