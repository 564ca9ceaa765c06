#include "Base/Hash.h"

#include "ColdUpstreamHost.h"
#include "LoopbackNetwork.h"
#include "Property.h"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using namespace Mangofall::Testing;
using std::chrono::milliseconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int hostCount = 3;
constexpr int requestsOfHost = 40;
constexpr std::uint16_t port = 18790;
// One and a half times the rate; two holders of it would reach twice the rate.
constexpr std::size_t mostInSecond = 30;
constexpr milliseconds freezeTime{800};

std::vector<FleetHost> fleetHosts()
{
    std::vector<FleetHost> hosts;
    hosts.reserve(hostCount);
    for (int index = 0; index < hostCount; ++index) {
        hosts.push_back({HostId("h" + std::to_string(index)), {Testing::loopbackNetwork() + std::to_string(index + 1), port}, {}, 1});
    }
    return hosts;
}

struct Fleet {
    std::vector<TimePoint> grants;
    std::vector<std::unique_ptr<Host>> hosts;

    /// The hosts at \p requesters keep requests waiting.
    explicit Fleet(const std::vector<std::size_t> &requesters = {0, 1, 2})
    {
        for (const FleetHost &host : fleetHosts()) {
            hosts.push_back(std::make_unique<Host>(host, grants));
            hosts.back()->placement.setUpstreams({coldUpstream()});
        }
        for (const auto &host : hosts) {
            host->placement.setHosts(fleetHosts());
        }
        for (const std::size_t requester : requesters) {
            for (int request = 0; request < requestsOfHost; ++request) {
                hosts[requester]->submit();
            }
        }
    }

    static int ownerIndex()
    {
        const auto score = [](int index) {
            return rendezvousScore(service.value(), "h" + std::to_string(index));
        };
        int owner = 0;
        for (int index = 1; index < hostCount; ++index) {
            owner = score(index) > score(owner) ? index : owner;
        }
        return owner;
    }

    // Runs all hosts but \p frozen.
    void run(milliseconds time, int frozen = -1)
    {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
            for (int index = 0; index < hostCount; ++index) {
                if (index != frozen) {
                    hosts[static_cast<std::size_t>(index)]->io.poll();
                }
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    std::size_t mostGrantsInSecond() const
    {
        std::size_t most = 0;
        for (auto first = grants.begin(); first != grants.end(); ++first) {
            const auto last = std::find_if(first, grants.end(), [&](TimePoint grant) {
                return grant >= *first + std::chrono::seconds(1);
            });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
};

// Two hosts and two upstreams with one slot each.
struct CrossingFleet {
    std::vector<TimePoint> unused;
    std::vector<std::uint64_t> granted; ///< The numbers of the requests that got a slot.
    std::vector<std::unique_ptr<Host>> hosts;

    CrossingFleet()
    {
        std::vector<FleetHost> members = fleetHosts();
        members.resize(2);
        for (const FleetHost &member : members) {
            hosts.push_back(std::make_unique<Host>(member, unused));
            hosts.back()->placement.setUpstreams(upstreams(TimePoint()));
        }
        for (const auto &host : hosts) {
            host->placement.setHosts(members);
        }
    }

    static std::vector<Placement::UpstreamEntry> upstreams(TimePoint coldUntil)
    {
        std::vector<Placement::UpstreamEntry> entries(2);
        for (std::size_t index = 0; index < entries.size(); ++index) {
            entries[index].id = UpstreamId("u" + std::to_string(index));
            entries[index].service = service;
            entries[index].address = {"127.0.0.1", 1};
            entries[index].coldUntil = coldUntil;
        }
        return entries;
    }

    Host &owner()
    {
        return *hosts[ownerIndex()];
    }

    Host &other()
    {
        return *hosts[1 - ownerIndex()];
    }

    static std::size_t ownerIndex()
    {
        return rendezvousScore(service.value(), "h0") > rendezvousScore(service.value(), "h1") ? 0 : 1;
    }

    Placement::PlacementRequestId submit(Host &host)
    {
        const Placement::PlacementRequest request = makeRequest(host.placement);
        host.placement.submit(request, [this, number = request.id.number](const PlacementGateway::Answer &answer) {
            if (std::holds_alternative<Placement::Assignment>(answer)) {
                granted.push_back(number);
            }
        });
        return request.id;
    }

    void run(milliseconds time)
    {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end; std::this_thread::sleep_for(milliseconds(1))) {
            owner().io.poll();
            other().io.poll();
        }
    }

    static void runOne(Host &host, milliseconds time)
    {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end; std::this_thread::sleep_for(milliseconds(1))) {
            host.io.poll();
        }
    }
};

}

TEST_GROUP(WokenOwnerTest){};

// Guards against a cold upstream that gets the rate of two owners: an owner that was stopped for a moment granted its whole rate when it went on, beside the
// host in its place, and that host went on to place its own requests. A host that was not the owner took itself for it when it went on. Each host is stopped
// in turn, so that the owner is among them.
TEST(WokenOwnerTest, AColdUpstreamGetsTheRateOfOneOwner)
{
    Fleet fleet;
    fleet.run(milliseconds(1500));
    for (int round = 0; round < 2; ++round) {
        for (int host = 0; host < hostCount; ++host) {
            fleet.run(freezeTime, host);
            fleet.run(milliseconds(2500));
        }
    }
    const std::size_t most = fleet.mostGrantsInSecond();
    CHECK_TEXT(most <= mostInSecond, std::to_string(most).c_str());
    CHECK_TEXT(fleet.grants.size() > 100, "the upstream is used");
}

// Guards against a cold upstream that gets the requests of two seconds in one: a host that was stopped read its grants late and used them all the same, beside
// those that the owner gave for the next second. The time between the stops varies, so that some fall between a grant and its delivery.
TEST(WokenOwnerTest, GrantsThatAreReadLateKeepTheRate)
{
    const int requester = (Fleet::ownerIndex() + 1) % hostCount;
    Fleet fleet({static_cast<std::size_t>(requester)});
    fleet.run(milliseconds(1500));
    for (int round = 0; round < 4; ++round) {
        fleet.run(freezeTime, requester);
        fleet.run(milliseconds(1600 + 150 * round));
    }
    const std::size_t most = fleet.mostGrantsInSecond();
    CHECK_TEXT(most <= static_cast<std::size_t>(coldRate), std::to_string(most).c_str());
    CHECK_TEXT(fleet.grants.size() > 100, "the upstream is used");
}

// Guards against an upstream that has turned cold and gets the requests that a stopped host was granted before that.
TEST(WokenOwnerTest, AGrantThatIsReadLateIsHandedBackIfTheUpstreamHasTurnedCold)
{
    CrossingFleet fleet;
    fleet.submit(fleet.other());
    fleet.run(milliseconds(200));
    LONGS_EQUAL_TEXT(1, fleet.granted.size(), "the hosts are connected");
    fleet.submit(fleet.other());
    fleet.runOne(fleet.other(), milliseconds(20));
    fleet.runOne(fleet.owner(), Placement::grantUseTime + milliseconds(50));
    for (Host *host : {&fleet.owner(), &fleet.other()}) {
        host->placement.setUpstreams(fleet.upstreams(Clock::now() + std::chrono::hours(1)));
    }
    fleet.run(milliseconds(30));
    LONGS_EQUAL_TEXT(1, fleet.granted.size(), "the old grant is not used");
    fleet.run(milliseconds(2500));
    LONGS_EQUAL_TEXT(2, fleet.granted.size(), "the request gets another one");
}

// Guards against slots that are lost for good: a host sends a queued request again every 0.4 s, and if that crosses the grant, the owner granted the request a
// second time, at another upstream, and never took the first grant back.
TEST(WokenOwnerTest, ARequestThatIsSentAgainBesideItsGrantHoldsOneSlot)
{
    CrossingFleet fleet;
    const std::vector<Placement::PlacementRequestId> held{fleet.submit(fleet.owner()), fleet.submit(fleet.owner())};
    fleet.run(milliseconds(200));
    LONGS_EQUAL(2, fleet.granted.size());
    const Placement::PlacementRequestId waiting = fleet.submit(fleet.other());
    fleet.run(milliseconds(100));
    // The request is sent again after 0.4 s. The owner does not read that before it has granted the first one, but before it counts as silent.
    fleet.runOne(fleet.other(), milliseconds(350));
    for (const Placement::PlacementRequestId &id : held) {
        fleet.owner().placement.ended(id, Placement::GrantOutcome::Completed, std::nullopt);
    }
    fleet.run(milliseconds(200));
    LONGS_EQUAL(3, fleet.granted.size());
    fleet.other().placement.ended(waiting, Placement::GrantOutcome::Completed, std::nullopt);
    fleet.run(milliseconds(200));
    fleet.submit(fleet.other());
    fleet.submit(fleet.other());
    fleet.run(milliseconds(300));
    LONGS_EQUAL_TEXT(5, fleet.granted.size(), "both slots are free again");
}
