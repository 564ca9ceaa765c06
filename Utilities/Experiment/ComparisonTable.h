#pragma once

#include <string>

namespace Mangofall::Experiment {

class Comparison;

/// The comparison as Markdown: a table for each scenario with a row for each policy and the 95% confidence interval of its credit.
std::string comparisonTable(const Comparison &comparison);

/// The results of the kinds of prompts as Markdown: for each kind, for its longest tenth and for its prompts that exceed one engine, the shares that were
/// not answered and late, and the 99th percentile of the time until the first event.
std::string kindTable(const Comparison &comparison);

}
