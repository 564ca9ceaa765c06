#include "Experiment/Comparison.h"

#include "Experiment/FleetSimulation.h"

#include <utility>

namespace Mangofall::Experiment {

Estimate ComparisonCell::metricEstimate(const std::function<double(const CreditReport &)> &metric) const
{
    std::vector<double> values;
    values.reserve(reports.size());
    for (const CreditReport &report : reports) {
        values.push_back(metric(report));
    }
    return estimate(values);
}

Comparison::Comparison(std::vector<Scenario> scenarios, std::vector<Policy> policies)
    : m_scenarios(std::move(scenarios))
    , m_policies(std::move(policies))
    , m_cells(m_scenarios.size() * m_policies.size())
{
}

void Comparison::run(std::uint64_t firstSeed, std::size_t seeds)
{
    for (std::size_t scenario = 0; scenario < m_scenarios.size(); ++scenario) {
        for (std::size_t policy = 0; policy < m_policies.size(); ++policy) {
            ComparisonCell &cell = m_cells[scenario * m_policies.size() + policy];
            cell.reports.reserve(seeds);
            for (std::size_t run = 0; run < seeds; ++run) {
                FleetSimulation simulation(m_scenarios[scenario], m_policies[policy], firstSeed + run);
                cell.reports.push_back(makeCreditReport(m_scenarios[scenario], simulation.run()));
            }
        }
    }
}

const std::vector<Scenario> &Comparison::scenarios() const
{
    return m_scenarios;
}

const std::vector<Policy> &Comparison::policies() const
{
    return m_policies;
}

const ComparisonCell &Comparison::cell(std::size_t scenario, std::size_t policy) const
{
    return m_cells[scenario * m_policies.size() + policy];
}

}
