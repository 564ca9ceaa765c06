#pragma once

#include <string>

namespace Mangofall::Experiment {

class Comparison;

/// The comparison as Markdown: a table for each scenario with a row for each policy and the 95% confidence interval of its credit.
std::string comparisonTable(const Comparison &comparison);

}
