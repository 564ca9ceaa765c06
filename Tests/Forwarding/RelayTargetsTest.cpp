#include "Forwarding/RelayTargets.h"

#include "Property.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace Mangofall;
using namespace Mangofall::Forwarding;

namespace {

std::vector<HostId> makeHosts(std::size_t count)
{
    std::vector<HostId> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        hosts.emplace_back("h" + std::to_string(index));
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

// The hosts that learn what the first one passes on; silent hosts pass on nothing.
std::set<HostId> reached(const std::vector<HostId> &hosts, const std::set<HostId> &silent)
{
    std::set<HostId> known{hosts.front()};
    std::deque<HostId> queue{hosts.front()};
    while (!queue.empty()) {
        const HostId host = queue.front();
        queue.pop_front();
        for (const HostId &target : relayTargets(hosts, host)) {
            if (!silent.contains(target) && known.insert(target).second) {
                queue.push_back(target);
            }
        }
    }
    return known;
}

}

TEST_GROUP(RelayTargetsTest){};

// Guards against hosts that never learn of a request that crashes upstreams, at any size of the fleet.
TEST(RelayTargetsTest, EveryHostIsReached)
{
    for (const std::size_t count : {1U, 2U, 3U, 9U, 58U, 195U, 812U}) {
        const std::vector<HostId> hosts = makeHosts(count);
        LONGS_EQUAL(count, reached(hosts, {}).size());
        CHECK(relayTargets(hosts, hosts.back()).size() <= 10);
    }
}

// Guards against hosts that do not learn because others on the way are frozen or dead.
TEST(RelayTargetsTest, EveryHostIsReachedWhileATenthIsSilent)
{
    std::mt19937 random(20261205);
    for (int round = 0; round < 20; ++round) {
        std::vector<HostId> hosts = makeHosts(195);
        std::set<HostId> silent;
        for (std::size_t index = 1; index < hosts.size(); ++index) {
            if (random() % 10 == 0) {
                silent.insert(hosts[index]);
            }
        }
        LONGS_EQUAL(hosts.size() - silent.size(), reached(hosts, silent).size());
    }
}

// Guards against a host that passes on nothing because the list does not have it yet.
TEST(RelayTargetsTest, AHostThatIsNotListedHasTargetsToo)
{
    const std::vector<HostId> hosts = makeHosts(3);
    LONGS_EQUAL(2, relayTargets(hosts, HostId("z")).size());
    CHECK(relayTargets({}, HostId("z")).empty());
    CHECK(relayTargets({HostId("z")}, HostId("z")).empty());
}
