#include "Forwarding/FleetMembership.h"

#include "Forwarding/OwnerSelector.h"

#include "Property.h"

#include <functional>
#include <map>
#include <random>
#include <string>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::seconds;
using Cause = MembershipChange::Cause;
using Kind = MembershipChange::Kind;

namespace {

constexpr seconds keepTime{60};
const TimePoint now = TimePoint(seconds(1000));
const HostId host("h1");

FleetHost entry(const HostId &id, std::uint64_t start = 1, bool leaving = false)
{
    return {id, {"127.0.0.1", 1}, {}, start, leaving};
}

std::vector<FleetHost> fleet()
{
    return {entry(HostId("h0")), entry(host), entry(HostId("h2"))};
}

std::vector<FleetHost> fleetWithoutHost()
{
    return {entry(HostId("h0")), entry(HostId("h2"))};
}

// One observer of the fleet: what it has read of the store, and its members.
struct Observer {
    FleetMembership membership{keepTime};
    std::map<HostId, FleetHost> entries;

    void list(const FleetHost &listed)
    {
        entries[listed.id] = listed;
        apply();
    }

    void lapse(const HostId &id)
    {
        entries.erase(id);
        apply();
    }

    void apply()
    {
        std::vector<FleetHost> hosts;
        for (const auto &[id, listed] : entries) {
            hosts.push_back(listed);
        }
        membership.setListed(hosts, now);
    }
};

// What one process of a host does.
struct Life {
    bool leaves = false;
    bool lapses = false;
    bool silent = false; ///< Whether it fails to answer, at some time after its start.
};

using Event = std::function<void(Observer &)>;

// The events of one host in an order in which an observer may see them.
std::vector<Event> eventsOf(const HostId &id, const std::vector<Life> &lives, std::mt19937 &random)
{
    std::vector<Event> events;
    std::uint64_t start = 0;
    for (const Life &life : lives) {
        const std::size_t began = events.size() + 1;
        ++start;
        events.emplace_back([id, start](Observer &observer) {
            observer.list(entry(id, start));
        });
        if (life.leaves) {
            events.emplace_back([id, start](Observer &observer) {
                observer.list(entry(id, start, true));
            });
        }
        if (life.lapses) {
            events.emplace_back([id](Observer &observer) {
                observer.lapse(id);
            });
        }
        if (life.silent) {
            const std::size_t position = began + random() % (events.size() - began + 1);
            events.insert(events.begin() + static_cast<std::ptrdiff_t>(position), [id](Observer &observer) {
                observer.membership.unanswered(id);
            });
        }
    }
    return events;
}

Observer observe(const std::map<HostId, std::vector<Life>> &hosts, std::mt19937 &random)
{
    std::vector<std::pair<std::vector<Event>, std::size_t>> pending;
    pending.reserve(hosts.size());
    for (const auto &[id, lives] : hosts) {
        pending.emplace_back(eventsOf(id, lives, random), 0);
    }
    Observer observer;
    while (!pending.empty()) {
        const std::size_t index = random() % pending.size();
        auto &[events, next] = pending[index];
        if (next < events.size()) {
            events[next++](observer);
        } else {
            pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return observer;
}

}

TEST_GROUP(FleetMembershipTest){};

// Guards against two owners of one service: hosts to which the same happened in another order hold other members and choose another owner.
TEST(FleetMembershipTest, ObserversOfTheSameEventsChooseTheSameOwners)
{
    Mangofall::Testing::checkProperty("members do not depend on the order of events", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::map<HostId, std::vector<Life>> hosts;
        for (int index = 0; index < 8; ++index) {
            std::vector<Life> lives(1 + random() % 3);
            for (Life &life : lives) {
                life = {random() % 4 == 0, random() % 2 == 0, random() % 3 == 0};
            }
            hosts[HostId("h" + std::to_string(index))] = lives;
        }
        const std::vector<FleetHost> first = observe(hosts, random).membership.members();
        const std::vector<FleetHost> second = observe(hosts, random).membership.members();
        RC_ASSERT(first == second);
        OwnerSelector left{HostId("x")};
        OwnerSelector right{HostId("x")};
        left.setHosts(first);
        right.setHosts(second);
        for (int index = 0; index < 10; ++index) {
            const ServiceId service("s" + std::to_string(index));
            RC_ASSERT(left.owner(service) == right.owner(service));
        }
    });
}

// Guards against a host that only lost the store and is removed, and against one that is kept although it does not answer or after it has gone for good.
TEST(FleetMembershipTest, AHostWhoseEntryLapsedIsKeptUntilItDoesNotAnswer)
{
    FleetMembership membership(keepTime);
    membership.setListed(fleet(), now);
    CHECK(membership.setListed(fleetWithoutHost(), now) == (FleetMembership::Changes{{host, Kind::Unlisted, Cause::None}}));
    LONGS_EQUAL(3, membership.members().size());
    CHECK(membership.expire(now + keepTime - seconds(1)).empty());
    FleetMembership other = membership;
    CHECK(membership.unanswered(host) == (FleetMembership::Changes{{host, Kind::Dropped, Cause::Silent}}));
    CHECK(other.expire(now + keepTime) == (FleetMembership::Changes{{host, Kind::Dropped, Cause::Expired}}));
    LONGS_EQUAL(2, membership.members().size());
    LONGS_EQUAL(2, other.members().size());
}

// Guards against a host that has answered late once, and is dropped when it loses the store an hour later.
TEST(FleetMembershipTest, AHostThatAnswersAgainIsNotSilent)
{
    FleetMembership membership(keepTime);
    membership.setListed(fleet(), now);
    membership.unanswered(host);
    membership.answered(host);
    membership.setListed(fleetWithoutHost(), now);
    LONGS_EQUAL(3, membership.members().size());
}

// Guards against hosts that stop on purpose and are kept, chosen as owners, or counted in the division of the retry budget.
TEST(FleetMembershipTest, AHostThatLeavesIsNoOwnerAndIsNotKept)
{
    FleetMembership membership(keepTime);
    std::vector<FleetHost> hosts = fleet();
    membership.setListed(hosts, now);
    hosts[1].leaving = true;
    membership.setListed(hosts, now);
    LONGS_EQUAL(2, membership.listedCount());
    LONGS_EQUAL(3, membership.members().size());
    OwnerSelector owners{HostId("h0")};
    owners.setHosts(membership.members());
    for (int index = 0; index < 50; ++index) {
        CHECK(owners.owner(ServiceId("s" + std::to_string(index))) != host);
    }
    CHECK(membership.setListed(fleetWithoutHost(), now) == (FleetMembership::Changes{{host, Kind::Dropped, Cause::Left}}));
}

// Guards against a change for deployments that do not ask for it.
TEST(FleetMembershipTest, WithoutTheSettingAHostIsRemovedWithItsEntry)
{
    FleetMembership membership(Duration::zero());
    membership.setListed(fleet(), now);
    membership.setListed(fleetWithoutHost(), now);
    LONGS_EQUAL(2, membership.members().size());
}
