#pragma once

#include "Experiment/CreditReport.h"
#include "Experiment/Estimate.h"
#include "Experiment/Policy.h"
#include "Experiment/Scenario.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Mangofall::Experiment {

/// The reports of one policy in one scenario, one report for each seed.
struct ComparisonCell {
    std::vector<CreditReport> reports;

    /// The mean of \p metric over the reports, with its confidence interval.
    Estimate metricEstimate(const std::function<double(const CreditReport &)> &metric) const;
};

/**
 * \class Comparison
 * \brief Runs each policy in each scenario with several seeds. With the same seed, every policy gets the same requests.
 */
class Comparison
{
public:
    Comparison(std::vector<Scenario> scenarios, std::vector<Policy> policies);

    /// Runs with \p seeds consecutive seeds from \p firstSeed on.
    void run(std::uint64_t firstSeed, std::size_t seeds);

    const std::vector<Scenario> &scenarios() const;
    const std::vector<Policy> &policies() const;
    const ComparisonCell &cell(std::size_t scenario, std::size_t policy) const;

private:
    std::vector<Scenario> m_scenarios;
    std::vector<Policy> m_policies;
    std::vector<ComparisonCell> m_cells;
};

}
