// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/OwnershipTable.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Membership;

namespace {

HostStatus hostAt(int index, HostState state = HostState::Alive)
{
    return {.host = HostId("host" + std::to_string(index)),
            .incarnation = 1,
            .sequence = 1,
            .state = state,
            .dataCentre = DataCentreId("dc" + std::to_string(index % 3)),
            .region = RegionId("sul"),
            .address = {}};
}

std::vector<HostStatus> someHosts(int count)
{
    std::vector<HostStatus> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        hosts.push_back(hostAt(index));
    }
    return hosts;
}

KeysChanged keys()
{
    KeysChanged changed;
    for (int index = 0; index < 60; ++index) {
        changed.upstreams.emplace(UpstreamId("engine" + std::to_string(index)), DataCentreId("dc" + std::to_string(index % 3)));
    }
    changed.shards.emplace(RegionId("sul"), 40);
    return changed;
}

}

TEST_GROUP(OwnershipTableTest){};

// Guards against an owner that depends on the order in which a host learnt its view: two hosts would then both dispatch to one upstream.
TEST(OwnershipTableTest, SameViewGivesSameSingleOwner)
{
    Testing::checkProperty("hosts with the same view agree on every owner", [] {
        std::vector<HostStatus> hosts = someHosts(*rc::gen::inRange(1, 20));
        for (HostStatus &host : hosts) {
            host.state = *rc::gen::element(HostState::Alive, HostState::Suspect, HostState::Leaving, HostState::Dead);
        }
        OwnershipTable one;
        one.handle(keys());
        one.handle(HostsChanged{hosts});
        OwnershipTable other;
        const int detour = *rc::gen::inRange(0, 20);
        other.handle(HostsChanged{someHosts(detour)});
        other.handle(keys());
        std::reverse(hosts.begin(), hosts.end());
        other.handle(HostsChanged{hosts});
        RC_ASSERT(one.snapshot()->dispatchers() == other.snapshot()->dispatchers());
        RC_ASSERT(one.snapshot()->shards() == other.snapshot()->shards());
        const KeysChanged all = keys();
        for (const auto &[upstream, owner] : one.snapshot()->dispatchers()) {
            const auto host = std::find_if(hosts.begin(), hosts.end(), [&expected = owner.host](const HostStatus &candidate) {
                return candidate.host == expected;
            });
            RC_ASSERT(host->dataCentre == all.upstreams.at(upstream));
            RC_ASSERT(host->state == HostState::Alive || host->state == HostState::Suspect);
        }
    });
}

// Guards against the removal of one host that moves the keys of other hosts, and against moves that are not reported.
TEST(OwnershipTableTest, RemovingHostMovesOnlyItsKeys)
{
    Testing::checkProperty("removing a host moves only its keys", [] {
        const int count = *rc::gen::inRange(2, 20);
        std::vector<HostStatus> hosts = someHosts(count);
        OwnershipTable table;
        table.handle(keys());
        table.handle(HostsChanged{hosts});
        const auto before = table.snapshot();
        const int removed = *rc::gen::inRange(0, count);
        const HostId lost = hosts[static_cast<std::size_t>(removed)].host;
        hosts[static_cast<std::size_t>(removed)].state = *rc::gen::element(HostState::Leaving, HostState::Dead);
        const auto moves = table.handle(HostsChanged{hosts});
        const auto now = table.snapshot();
        std::size_t owned = 0;
        for (const auto &[upstream, owner] : before->dispatchers()) {
            owned += owner.host == lost ? 1 : 0;
            const Owner *next = now->dispatcherOf(upstream);
            RC_ASSERT((owner.host == lost ? next == nullptr || next->host != lost : next != nullptr && *next == owner));
        }
        for (const auto &[shard, owner] : before->shards()) {
            owned += owner.host == lost ? 1 : 0;
            RC_ASSERT((owner.host == lost ? now->ownerOf(shard)->host != lost : *now->ownerOf(shard) == owner));
        }
        RC_ASSERT(moves.size() == owned);
        RC_ASSERT(std::all_of(moves.begin(), moves.end(), [&](const OwnershipMoved &move) {
            return move.before && move.before->host == lost;
        }));
    });
}

// Guards against taking a restarted host for its previous process, which held the queue.
TEST(OwnershipTableTest, RestartedHostIsNewOwner)
{
    OwnershipTable table;
    table.handle(keys());
    std::vector<HostStatus> hosts = {hostAt(0)};
    const auto gained = table.handle(HostsChanged{hosts});
    LONGS_EQUAL(60, gained.size()); // 20 upstreams of its data centre and 40 shards
    hosts[0].incarnation = 2;
    const auto moved = table.handle(HostsChanged{hosts});
    LONGS_EQUAL(60, moved.size());
    CHECK(moved[0].before->incarnation == 1 && moved[0].now->incarnation == 2);
    LONGS_EQUAL(0, table.handle(HostsChanged{hosts}).size());
}
