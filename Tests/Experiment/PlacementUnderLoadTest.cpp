#include "Experiment/Comparison.h"

#include "ExperimentFixtures.h"

#include <functional>
#include <string>

using namespace Mangofall;
using namespace Mangofall::Experiment;
using namespace Mangofall::Experiment::Testing;

// Runs scenarios in virtual time and checks the results for the callers against the targets of docs/decisions/placing-by-pause-limits.md.
namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::size_t seeds = 5;

enum Kind : std::size_t {
    Short,
    Middle,
    Long,
};

ComparisonCell runScenario(const std::string &scenario, const std::string &policy)
{
    Comparison comparison({scenarioNamed(scenario)}, {policyNamed(policy)});
    comparison.run(firstSeed, seeds);
    return comparison.cell(0, 0);
}

double mean(const ComparisonCell &cell, const std::function<double(const CreditReport &)> &metric)
{
    return cell.metricEstimate(metric).mean;
}

}

TEST_GROUP(PlacementUnderLoadTest){};

// Guards against refusals or lost requests at a steady rate: 999 in 1,000 requests must be served.
TEST(PlacementUnderLoadTest, ASteadyMixIsServed)
{
    const ComparisonCell cell = runScenario("steady", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.all.served;
               })
          >= 0.999);
}

// Guards against long prompts that delay the answers to short ones or cause pauses in them: 95 in 100 short prompts must be on time at twice the usual rate of
// long prompts.
TEST(PlacementUnderLoadTest, ShortPromptsAreOnTimeBesideTwiceTheLongOnes)
{
    const ComparisonCell cell = runScenario("long-doubled", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.kinds[Short].onTime;
               })
          >= 0.95);
}

// Guards against the neglect of a kind or a length of prompts while the mix alternates between long and short prompts: the credit must reach 0.616, the target
// of the heaviest standard scenario.
TEST(PlacementUnderLoadTest, ASwingingMixEarnsTheTargetCredit)
{
    const ComparisonCell cell = runScenario("swinging-mix", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.all.credit;
               })
          >= 0.616);
    for (const Kind kind : {Short, Middle, Long}) {
        CHECK(mean(cell,
                   [kind](const CreditReport &report) {
                       return report.longestTenths[kind].served;
                   })
              >= mean(cell, [kind](const CreditReport &report) {
                     return report.kinds[kind].served / 2;
                 }));
    }
}

// Guards against an overload that outlasts its cause: nine engines fail with about four requests each, which are 3 in 100 of all requests.
TEST(PlacementUnderLoadTest, LostEnginesCostFewRequests)
{
    const ComparisonCell cell = runScenario("engine-losses", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.all.served;
               })
          >= 0.97);
}
