#include "Edge/EdgeFleet.h"

#include "Property.h"

#include <csignal>
#include <set>

using namespace Mangofall;
using Mangofall::Testing::EdgeFleet;
using Mangofall::Testing::ScriptedUpstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t hostCount = 4; // Two readers and two followers.
// More than the hosts have used when the store is restored.
constexpr std::uint64_t foreignLeases = 10;
// For what is written to reach all hosts on a busy machine.
constexpr milliseconds settleTime{1200};

// Writes often enough that the revision is above that of the copy for the rest of the test.
void raiseRevision(EdgeFleet &fleet)
{
    for (int change = 0; change < 200; ++change) {
        fleet.store().put("other/key", std::to_string(change));
    }
}

// Whether all hosts are listed, each under a lease of its own.
bool allRegistered(EdgeFleet &fleet)
{
    std::set<std::uint64_t> leases;
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        leases.insert(fleet.store().leaseOf(fleet.hostKey(host)));
    }
    return !leases.contains(0) && leases.size() == fleet.size();
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++found;
    }
    return found;
}

}

TEST_GROUP(StoreRestoreTest){};

// Guards against requests to an upstream that writes after a restore that it is leaving: 232 reached such an upstream later than the limit.
TEST(StoreRestoreTest, AnUpstreamThatLeavesAfterTheRestoreGetsNoRequests)
{
    EdgeFleet fleet(hostCount);
    ScriptedUpstream &leaving = fleet.list("u1", "ready");
    fleet.list("u2", "ready");
    CHECK(fleet.startAll());
    fleet.store().saveCopy();
    raiseRevision(fleet);
    fleet.sendFor(settleTime);
    CHECK_TEXT(!leaving.requests().empty(), "the upstream is in use");
    fleet.store().restoreCopy();
    fleet.sendFor(seconds(5));
    fleet.list("u1", "draining");
    fleet.sendFor(EdgeFleet::changeLimit);
    const std::size_t atLimit = leaving.requests().size();
    fleet.sendFor(seconds(2));
    LONGS_EQUAL(atLimit, leaving.requests().size());
}

// Guards against a host that uses an upstream again, which it knows to be leaving, because the copy has it as ready; a host that restarts trusts the store.
TEST(StoreRestoreTest, AnUpstreamThatIsKnownToLeaveIsNotUsedAgain)
{
    EdgeFleet fleet(hostCount);
    ScriptedUpstream &leaving = fleet.list("u1", "ready");
    fleet.list("u2", "ready");
    CHECK(fleet.startAll());
    fleet.store().saveCopy();
    raiseRevision(fleet);
    fleet.list("u1", "draining");
    fleet.sendFor(settleTime);
    const std::size_t known = leaving.requests().size();
    fleet.store().restoreCopy();
    fleet.sendFor(seconds(4));
    LONGS_EQUAL(known, leaving.requests().size());
    CHECK(fleet.allLogged("store_item_held"));
}

// Guards against hosts that are forgotten, or keep a lease whose number belongs to another host, and against a host that ends such a lease when it leaves.
TEST(StoreRestoreTest, HostsRegisterAgainUnderLeasesOfTheirOwn)
{
    EdgeFleet fleet(hostCount);
    fleet.list("u1", "ready");
    fleet.store().saveCopy();
    CHECK(fleet.startAll());
    raiseRevision(fleet);
    fleet.sendFor(settleTime);
    CHECK(allRegistered(fleet));
    fleet.store().restoreCopy();
    fleet.store().addLeases(foreignLeases, seconds(60)); // The numbers that the hosts used before.
    CHECK_TEXT(fleet.runUntil(
                   [&]() {
                       return allRegistered(fleet);
                   },
                   seconds(4)),
               "all hosts are listed again");
    fleet.signal(0, SIGTERM);
    CHECK(fleet.runUntil(
        [&]() {
            return fleet.ended(0);
        },
        seconds(8)));
    for (std::uint64_t lease = 1; lease <= foreignLeases; ++lease) {
        CHECK(fleet.store().hasLease(lease));
    }
    for (std::size_t host = 1; host < hostCount; ++host) {
        CHECK(fleet.store().leaseOf(fleet.hostKey(host)) != 0);
    }
}

// Guards against a host that goes back to an older configuration, with revoked keys, and against one that never takes the next one.
TEST(StoreRestoreTest, NoHostGoesBackToAnOlderConfiguration)
{
    EdgeFleet fleet(hostCount);
    fleet.list("u1", "ready");
    CHECK(fleet.startAll());
    fleet.store().saveCopy();
    raiseRevision(fleet);
    fleet.configure(2);
    const std::string second = R"("version":"2")";
    CHECK(fleet.runUntil(
        [&]() {
            return fleet.allLogged(second);
        },
        seconds(3)));
    fleet.store().restoreCopy();
    fleet.runFor(settleTime);
    fleet.signal(3, SIGKILL);
    CHECK(fleet.runUntil(
        [&]() {
            return fleet.ended(3);
        },
        seconds(2)));
    fleet.start(3);
    fleet.runFor(seconds(2));
    LONGS_EQUAL(2, count(fleet.log(3), R"("version":"1")"));
    fleet.configure(3);
    CHECK(fleet.runUntil(
        [&]() {
            return fleet.allLogged(R"("version":"3")");
        },
        EdgeFleet::changeLimit));
    for (std::size_t host = 0; host < 3; ++host) {
        LONGS_EQUAL(1, count(fleet.log(host), R"("version":"1")"));
    }
}
