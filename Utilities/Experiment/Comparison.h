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

/// The reports of one policy in one scenario, one for each seed.
struct ComparisonCell {
    std::vector<CreditReport> reports;

    Estimate value(const std::function<double(const CreditReport &)> &read) const;
};

/**
 * \class Comparison
 * \brief Plays policies in scenarios over seeds; every policy gets the same requests.
 */
class Comparison
{
public:
    Comparison(std::vector<Scenario> scenarios, std::vector<Policy> policies);

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
