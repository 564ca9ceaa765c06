#include "Experiment/ComparisonTable.h"

#include "Experiment/Comparison.h"

#include <iomanip>
#include <sstream>

namespace Mangofall::Experiment {

namespace {

constexpr int decimals = 3;

void writeShare(std::ostream &out, double share)
{
    out << " " << share << " |";
}

void writeHeader(std::ostream &out, const Scenario &scenario)
{
    out << "\n| " << scenario.name << " | credit | credit lost waiting | served | worst organisation | worst data centre |";
    for (const PromptKind &kind : scenario.kinds) {
        out << " " << kind.name << ": on time | " << kind.name << ", longest tenth: credit |";
    }
    out << "\n|---|---|---|---|---|---|";
    for (std::size_t kind = 0; kind < scenario.kinds.size(); ++kind) {
        out << "---|---|";
    }
    out << "\n";
}

void writeRow(std::ostream &out, const Policy &policy, const ComparisonCell &cell, std::size_t kinds)
{
    const Estimate credit = cell.metricEstimate([](const CreditReport &report) {
        return report.all.credit;
    });
    out << "| " << policy.name << " | " << credit.mean << " ± " << credit.margin << " |";
    const auto mean = [&](const std::function<double(const CreditReport &)> &metric) {
        writeShare(out, cell.metricEstimate(metric).mean);
    };
    mean([](const CreditReport &report) {
        return report.all.creditLostWaiting;
    });
    mean([](const CreditReport &report) {
        return report.all.served;
    });
    mean([](const CreditReport &report) {
        return report.worstOrganisation.credit;
    });
    mean([](const CreditReport &report) {
        return report.worstDataCentre.credit;
    });
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        mean([kind](const CreditReport &report) {
            return report.kinds[kind].onTime;
        });
        mean([kind](const CreditReport &report) {
            return report.longestTenths[kind].credit;
        });
    }
    out << "\n";
}

void writeGroup(std::ostream &out, const std::string &name, const ComparisonCell &cell, const std::function<const GroupResult &(const CreditReport &)> &group)
{
    const auto mean = [&](const std::function<double(const GroupResult &)> &metric) {
        writeShare(out,
                   cell.metricEstimate([&](const CreditReport &report) {
                           return metric(group(report));
                       })
                       .mean);
    };
    out << name;
    mean([](const GroupResult &result) {
        return static_cast<double>(result.requests);
    });
    mean([](const GroupResult &result) {
        return 1 - result.served;
    });
    mean([](const GroupResult &result) {
        return result.late;
    });
    mean([](const GroupResult &result) {
        return result.firstEventP99;
    });
    mean([](const GroupResult &result) {
        return result.credit;
    });
    out << "\n";
}

}

std::string comparisonTable(const Comparison &comparison)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(decimals);
    for (std::size_t scenario = 0; scenario < comparison.scenarios().size(); ++scenario) {
        const Scenario &current = comparison.scenarios()[scenario];
        writeHeader(out, current);
        for (std::size_t policy = 0; policy < comparison.policies().size(); ++policy) {
            writeRow(out, comparison.policies()[policy], comparison.cell(scenario, policy), current.kinds.size());
        }
    }
    return out.str();
}

std::string kindTable(const Comparison &comparison)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(decimals);
    for (std::size_t scenario = 0; scenario < comparison.scenarios().size(); ++scenario) {
        const Scenario &current = comparison.scenarios()[scenario];
        out << "\n| " << current.name << " | requests | not answered | late | first event p99 (s) | credit |\n|---|---|---|---|---|---|\n";
        for (std::size_t kind = 0; kind < current.kinds.size(); ++kind) {
            for (std::size_t policy = 0; policy < comparison.policies().size(); ++policy) {
                const ComparisonCell &cell = comparison.cell(scenario, policy);
                const std::string name = "| " + current.kinds[kind].name + ", " + comparison.policies()[policy].name;
                writeGroup(out, name + " |", cell, [kind](const CreditReport &report) -> const GroupResult & {
                    return report.kinds[kind];
                });
                writeGroup(out, name + ", longest tenth |", cell, [kind](const CreditReport &report) -> const GroupResult & {
                    return report.longestTenths[kind];
                });
                writeGroup(out, name + ", beyond one engine |", cell, [kind](const CreditReport &report) -> const GroupResult & {
                    return report.beyondOneEngine[kind];
                });
            }
        }
    }
    return out.str();
}

}
