#include "OrderSimulation.h"

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;
using Testing::OrderSimulation;

namespace {

void checkSimulations(bool singleClaims)
{
    int runs = 0;
    int lostWriteAnswers = 0;
    Testing::checkProperty("orders run at most once and are answered correctly despite faults", [&](std::uint64_t seed) {
        OrderSimulation simulation(seed, singleClaims);
        simulation.run();
        runs += simulation.runs();
        lostWriteAnswers += simulation.lostWriteAnswers();
        for (const std::string &violation : simulation.violations()) {
            RC_LOG(violation);
        }
        RC_ASSERT(simulation.violations().empty());
    });
    // Simulations in which hardly any order runs or hardly any write fails would not test the rules.
    CHECK(runs > 100);
    CHECK(lostWriteAnswers > 100);
}

}

TEST_GROUP(OrderFaultsTest){};

// Guards against an order that runs twice, a wrong answer, a lost outcome and a claim that is never resolved.
TEST(OrderFaultsTest, GroupCommitRunsOrdersAtMostOnceAndAnswersCorrectly)
{
    checkSimulations(false);
}

// Guards against the same faults in the ledger with one store key per order, where all hosts accept orders at once.
TEST(OrderFaultsTest, SingleClaimsRunOrdersAtMostOnceAndAnswerCorrectly)
{
    checkSimulations(true);
}
