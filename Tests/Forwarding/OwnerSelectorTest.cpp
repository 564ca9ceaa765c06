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

TEST_GROUP(OwnerChoiceTest){};

// Guards against hosts that agree on the fleet but not on the owner, who would both give the same places.
TEST(OwnerChoiceTest, HostsThatKnowTheSameFleetChooseTheSameOwner)
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

// Guards against requests that wait for an owner that has died.
TEST(OwnerChoiceTest, ASilentOwnerIsPassedOverForAWhile)
{
    OwnerSelector choice{HostId("a")};
    choice.setHosts(hosts());
    const ServiceId service("s");
    TimePoint now;
    const HostId owner = choice.owner(service, now);
    choice.unanswered(owner, now);
    const bool self = owner == HostId("a");
    CHECK(self || choice.owner(service, now) != owner);
    now += milliseconds(5000);
    CHECK(choice.owner(service, now) == owner);
}

// Guards against a host without any view of its peers that places nothing.
TEST(OwnerChoiceTest, AHostAloneOwnsEverything)
{
    const OwnerSelector choice{HostId("a")};
    CHECK(choice.owner(ServiceId("s"), TimePoint()) == HostId("a"));
}
