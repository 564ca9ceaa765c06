#include "Experiment/Comparison.h"

#include "ExperimentFixtures.h"

#include <functional>
#include <string>

using namespace Mangofall;
using namespace Mangofall::Experiment;
using namespace Mangofall::Experiment::Testing;

// The loads that the decisions on placing answer, played in virtual time: what callers get, from the targets of docs/decisions/placing-by-pause-limits.md.
namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::size_t seeds = 5;

enum Kind : std::size_t {
    Short,
    Middle,
    Long,
};

ComparisonCell play(const std::string &scenario, const std::string &policy)
{
    Comparison comparison({scenarioNamed(scenario)}, {policyNamed(policy)});
    comparison.run(firstSeed, seeds);
    return comparison.cell(0, 0);
}

double mean(const ComparisonCell &cell, const std::function<double(const CreditReport &)> &read)
{
    return cell.value(read).mean;
}

}

TEST_GROUP(PlacingUnderLoadTest){};

// Guards against refusals or lost requests on a calm day: 999 in 1,000 are to be served.
TEST(PlacingUnderLoadTest, ASteadyMixIsServed)
{
    const ComparisonCell cell = play("steady", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.all.served;
               })
          >= 0.999);
}

// Guards against long prompts that pause or delay short ones: 95 in 100 are to be on time at twice the usual rate of long prompts.
TEST(PlacingUnderLoadTest, ShortPromptsAreOnTimeBesideTwiceTheLongOnes)
{
    const ComparisonCell cell = play("long-doubled", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.kinds[Short].onTime;
               })
          >= 0.95);
}

// Guards against a kind or a size that is given up while the mix swings between long and short prompts: the heaviest standard day is to reach its mark, 0.616.
TEST(PlacingUnderLoadTest, ASwingingMixEarnsTheTargetCredit)
{
    const ComparisonCell cell = play("swinging-mix", "owner-cost");
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

// Guards against a load that stays after its cause: nine engines with about four requests each are lost, 3 in 100 of all requests.
TEST(PlacingUnderLoadTest, LostEnginesCostFewRequests)
{
    const ComparisonCell cell = play("engine-losses", "owner-cost");
    CHECK(mean(cell,
               [](const CreditReport &report) {
                   return report.all.served;
               })
          >= 0.97);
}
