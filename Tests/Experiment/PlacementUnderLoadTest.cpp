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

// Guards against large prompts that are served seldom in phases of long prompts, and against short prompts that pay for them: with advance reservation at
// most half as many prompts beyond one engine remain unanswered, the callers' credit rises, and at most 1 in 100 more short prompts are late.
TEST(PlacementUnderLoadTest, ReservationsServeLargePromptsBesideShortOnes)
{
    const ComparisonCell before = runScenario("long-phases", "owner-cost");
    const ComparisonCell after = runScenario("long-phases", "owner-reservation");
    const auto unanswered = [](const CreditReport &report) {
        return 1 - report.beyondOneEngine[Long].served;
    };
    const auto credit = [](const CreditReport &report) {
        return report.all.credit;
    };
    const auto shortOnTime = [](const CreditReport &report) {
        return report.kinds[Short].onTime;
    };
    CHECK(mean(after, unanswered) <= mean(before, unanswered) / 2);
    CHECK(mean(after, credit) >= mean(before, credit) + 0.02);
    CHECK(mean(after, shortOnTime) >= mean(before, shortOnTime) - 0.01);
    for (const Kind kind : {Short, Middle}) {
        CHECK(mean(after,
                   [kind](const CreditReport &report) {
                       return report.longestTenths[kind].served;
                   })
              >= mean(after, [kind](const CreditReport &report) {
                     return report.kinds[kind].served - 0.1;
                 }));
    }
}
