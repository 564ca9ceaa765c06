#include "Forwarding/OwnerSelector.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;

namespace {

std::vector<HostId> hosts()
{
    return {HostId("a"), HostId("b"), HostId("c"), HostId("d")};
}

}

TEST_GROUP(OwnerSelectorTest){};

// Guards against hosts that know the same fleet but select two owners, which would both grant the same slots.
TEST(OwnerSelectorTest, HostsThatKnowTheSameFleetSelectTheSameOwner)
{
    OwnerSelector first{HostId("a")};
    OwnerSelector second{HostId("d")};
    first.setHosts(hosts());
    second.setHosts({HostId("d"), HostId("c"), HostId("b"), HostId("a")});
    for (int index = 0; index < 50; ++index) {
        const ServiceId service("s" + std::to_string(index));
        CHECK(first.owner(service, TimePoint()) == second.owner(service, TimePoint()));
    }
}

// Guards against requests that wait for an owner that has died. The owner is selected again after a while.
TEST(OwnerSelectorTest, ASilentOwnerIsSkippedForAWhile)
{
    OwnerSelector selector{HostId("a")};
    selector.setHosts(hosts());
    const ServiceId service("s");
    TimePoint now;
    const HostId owner = selector.owner(service, now);
    selector.markUnresponsive(owner, now);
    const bool self = owner == HostId("a");
    CHECK(self || selector.owner(service, now) != owner);
    now += milliseconds(5000);
    CHECK(selector.owner(service, now) == owner);
}

// Guards against a host that knows no peers and therefore places no requests.
TEST(OwnerSelectorTest, AHostWithoutPeersOwnsEveryService)
{
    const OwnerSelector selector{HostId("a")};
    CHECK(selector.owner(ServiceId("s"), TimePoint()) == HostId("a"));
}
