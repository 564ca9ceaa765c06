#pragma once

#include <string>

namespace Mangofall::Experiment {

class Comparison;

/// The credit of each policy in each scenario as an SVG bar chart with 95% intervals.
std::string comparisonPlot(const Comparison &comparison);

}
