#pragma once

#include <string>

namespace Mangofall::Experiment {

class Comparison;

/// The comparison as a table in Markdown: a row for each scenario and policy, with 95% intervals of the credit.
std::string comparisonTable(const Comparison &comparison);

}
