#include "Forwarding/OwnerSelector.h"

#include "Property.h"

#include <set>
#include <string>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;

namespace {

std::vector<FleetHost> hosts(const std::vector<std::string> &ids = {"a", "b", "c", "d"})
{
    std::vector<FleetHost> result;
    result.reserve(ids.size());
    for (const std::string &id : ids) {
        result.push_back({HostId(id), {}, {20, 12}, 1});
    }
    return result;
}

const ServiceId service("s");

// A selector of a host that does not own the service, so that the owner is another one.
OwnerSelector selectorOfAnother(HostId &owner)
{
    OwnerSelector selector{HostId("a")};
    selector.setHosts(hosts());
    owner = selector.owner(service);
    OwnerSelector other{HostId(owner == HostId("b") ? "c" : "b")};
    other.setHosts(hosts());
    return other;
}

}

TEST_GROUP(OwnerSelectorTest){};

// Guards against hosts that know the same fleet but select two owners, which would both grant the same slots.
TEST(OwnerSelectorTest, HostsThatKnowTheSameFleetSelectTheSameOwner)
{
    OwnerSelector first{HostId("a")};
    OwnerSelector second{HostId("d")};
    first.setHosts(hosts());
    second.setHosts(hosts({"d", "c", "b", "a"}));
    for (int index = 0; index < 50; ++index) {
        const ServiceId each("s" + std::to_string(index));
        CHECK(first.owner(each) == second.owner(each));
    }
}

// Guards against requests that wait for an owner that has died: it is skipped until it answers a probe, however long that takes.
TEST(OwnerSelectorTest, ASilentOwnerIsSkippedUntilItAnswersAProbe)
{
    HostId owner;
    OwnerSelector selector = selectorOfAnother(owner);
    TimePoint now;
    selector.markUnresponsive(owner, now);
    CHECK(selector.takeDueProbes(now).empty());
    for (int round = 0; round < 20; ++round) {
        now += milliseconds(500);
        CHECK(selector.owner(service) != owner);
        LONGS_EQUAL(1, selector.takeDueProbes(now).size());
    }
    selector.probeAnswered(owner, now + milliseconds(20));
    CHECK(selector.owner(service) == owner);
    CHECK(selector.takeDueProbes(now + milliseconds(5000)).empty());
}

// Guards against an owner that takes the service back although it is still too slow for placement requests.
TEST(OwnerSelectorTest, ALateAnswerToAProbeDoesNotCount)
{
    HostId owner;
    OwnerSelector selector = selectorOfAnother(owner);
    TimePoint now;
    selector.markUnresponsive(owner, now);
    now += milliseconds(500);
    selector.takeDueProbes(now);
    selector.probeAnswered(owner, now + milliseconds(300));
    CHECK(selector.owner(service) != owner);
}

// Guards against a host that has restarted and is still skipped for the silence of its former self.
TEST(OwnerSelectorTest, ARestartedHostIsNotSkipped)
{
    HostId owner;
    OwnerSelector selector = selectorOfAnother(owner);
    selector.markUnresponsive(owner, TimePoint());
    std::vector<FleetHost> again = hosts();
    selector.setHosts(again);
    CHECK(selector.owner(service) != owner);
    for (FleetHost &host : again) {
        host.start = 2;
    }
    selector.setHosts(again);
    CHECK(selector.owner(service) == owner);
}

// Guards against an owner on a small machine, which answers all hosts late, while larger machines are there.
TEST(OwnerSelectorTest, TheLargestMachinesOwnServices)
{
    std::vector<FleetHost> fleet = hosts();
    fleet.push_back({HostId("large-1"), {}, {200, 50}, 1});
    fleet.push_back({HostId("large-2"), {}, {200, 50}, 1});
    OwnerSelector selector{HostId("a")};
    selector.setHosts(fleet);
    std::set<HostId> owners;
    for (int index = 0; index < 50; ++index) {
        owners.insert(selector.owner(ServiceId("s" + std::to_string(index))));
    }
    CHECK(owners == (std::set<HostId>{HostId("large-1"), HostId("large-2")}));
    selector.markUnresponsive(HostId("large-1"), TimePoint());
    selector.markUnresponsive(HostId("large-2"), TimePoint());
    CHECK_FALSE(selector.owner(service).value().starts_with("large"));
}

// Guards against callers that return to an owner that has declined while it answers, or never, and against a host that places for itself while it declines.
TEST(OwnerSelectorTest, AnOwnerThatDeclinedIsSkippedForTheTimeThatItSaid)
{
    HostId owner;
    OwnerSelector selector = selectorOfAnother(owner);
    const TimePoint now;
    selector.markDeclined(owner, now + milliseconds(2000));
    const HostId next = selector.owner(service);
    CHECK(next != owner);
    selector.markResponsive(owner);
    CHECK(selector.takeDueProbes(now + milliseconds(1000)).empty());
    selector.expireDeclines(now + milliseconds(1999));
    CHECK(selector.owner(service) == next);
    OwnerSelector self{owner};
    self.setHosts(hosts());
    self.markDeclined(owner, now + milliseconds(2000));
    CHECK(self.owner(service) == next);
    selector.expireDeclines(now + milliseconds(2000));
    CHECK(selector.owner(service) == owner);
}

// Guards against a host that knows no peers and therefore places no requests.
TEST(OwnerSelectorTest, AHostWithoutPeersOwnsEveryService)
{
    const OwnerSelector selector{HostId("a")};
    CHECK(selector.owner(service) == HostId("a"));
}
