#include "OrderSimulation.h"

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;
using Testing::OrderSimulation;

namespace {

void checkWorlds(bool single)
{
    int runs = 0;
    int faultyWrites = 0;
    Testing::checkProperty("orders survive faults", [&](std::uint64_t seed) {
        OrderSimulation world(seed, single);
        world.run();
        runs += world.runs();
        faultyWrites += world.claimsWrittenWithFaults();
        for (const std::string &violation : world.violations()) {
            RC_LOG(violation);
        }
        RC_ASSERT(world.violations().empty());
    });
    // A world in which nothing runs or nothing fails would prove nothing.
    CHECK(runs > 100);
    CHECK(faultyWrites > 100);
}

}

TEST_GROUP(OrderFaultsTest){};

// Guards against an order that runs twice, an untrue answer, a lost outcome and a claim that is never settled.
TEST(OrderFaultsTest, GroupCommitRunsOrdersAtMostOnceAndTellsTheTruth)
{
    checkWorlds(false);
}

// Guards against the same with one store key per order, where all hosts take orders at once.
TEST(OrderFaultsTest, SingleClaimsRunOrdersAtMostOnceAndTellTheTruth)
{
    checkWorlds(true);
}
