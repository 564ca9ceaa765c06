#include "Forwarding/FleetPlacement.h"

#include "Base/Hash.h"
#include "Telemetry/EventLog.h"
#include "Telemetry/LineSink.h"

#include <boost/asio/post.hpp>

#include "CuttableRelay.h"
#include "LoopbackNetwork.h"
#include "Property.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int hostCount = 4;
constexpr int requestsOfHost = 40;
constexpr std::uint16_t port = 18795;
constexpr double coldRate = 24;
// Of the second that the rate is for, less the time that a grant may take to its host.
constexpr milliseconds window{900};
const ServiceId service("s");

class DiscardingSink final : public LineSink
{
public:
    bool write(std::string_view) override
    {
        return true;
    }
};

HostId hostId(int index)
{
    return HostId("h" + std::to_string(index));
}

std::string hostAddress(int index)
{
    return Testing::loopbackNetwork() + std::to_string(index + 1);
}

// A host that always keeps several requests waiting for a cold upstream.
struct Host {
    boost::asio::io_context &io;
    DiscardingSink sink;
    EventLog log{"h", 0, sink};
    FleetPlacement placement;
    std::vector<TimePoint> grants;

    Host(boost::asio::io_context &context, int index)
        : io(context)
        , placement(context, hostId(index), DataCentreId("dc"), log, MembershipOptions())
    {
        CHECK_FALSE(placement.listen({hostAddress(index), port}));
        placement.setServices({{service, coldRate, std::nullopt}});
        Placement::UpstreamEntry cold;
        cold.id = UpstreamId("u");
        cold.service = service;
        cold.address = {"127.0.0.1", 1};
        cold.slots = 1000;
        cold.coldUntil = Clock::now() + std::chrono::hours(1);
        placement.setUpstreams({cold});
    }

    void submit()
    {
        Placement::PlacementRequest request;
        request.id = placement.nextId();
        request.service = service;
        request.target = milliseconds(300);
        request.arrivedAt = Clock::now();
        request.deadline = request.arrivedAt + milliseconds(4000);
        placement.submit(request, [this, id = request.id](const PlacementGateway::Answer &answer) {
            if (std::holds_alternative<Placement::Assignment>(answer)) {
                grants.push_back(Clock::now());
            }
            boost::asio::post(io, [this, id]() {
                placement.ended(id, Placement::GrantOutcome::Completed, std::nullopt);
                submit();
            });
        });
    }
};

// Hosts that reach each other through relays.
struct Fleet {
    boost::asio::io_context io{1};
    std::map<std::pair<int, int>, std::unique_ptr<Testing::CuttableRelay>> relays;
    std::vector<std::unique_ptr<Host>> hosts;

    Fleet()
    {
        for (int index = 0; index < hostCount; ++index) {
            hosts.push_back(std::make_unique<Host>(io, index));
        }
        for (int viewer = 0; viewer < hostCount; ++viewer) {
            std::vector<FleetHost> seen;
            seen.reserve(hostCount);
            for (int target = 0; target < hostCount; ++target) {
                seen.push_back({hostId(target), {target == viewer ? hostAddress(target) : relay(viewer, target), port}, {}, 1});
            }
            hosts[static_cast<std::size_t>(viewer)]->placement.setHosts(seen);
        }
        for (const auto &host : hosts) {
            for (int request = 0; request < requestsOfHost; ++request) {
                host->submit();
            }
        }
    }

    std::string relay(int viewer, int target)
    {
        std::string address = Testing::loopbackNetwork() + std::to_string(100 + viewer * hostCount + target);
        relays[{viewer, target}] = std::make_unique<Testing::CuttableRelay>(io, address, port, hostAddress(target));
        return address;
    }

    // Cuts all ways between these hosts and the others.
    void cutOff(const std::vector<int> &cut)
    {
        const auto isCut = [&](int host) {
            return std::find(cut.begin(), cut.end(), host) != cut.end();
        };
        for (const auto &[ends, relay] : relays) {
            relay->setCut(isCut(ends.first) != isCut(ends.second));
        }
    }

    void run(milliseconds time)
    {
        io.run_for(time);
    }

    // The owner in the eyes of hosts that are in touch.
    static int owner()
    {
        int best = 0;
        for (int index = 1; index < hostCount; ++index) {
            if (rendezvousScore(service.value(), hostId(index).value()) > rendezvousScore(service.value(), hostId(best).value())) {
                best = index;
            }
        }
        return best;
    }

    std::size_t grantsSince(const std::vector<int> &some, TimePoint begin) const
    {
        std::size_t count = 0;
        for (const int host : some) {
            const std::vector<TimePoint> &grants = hosts[static_cast<std::size_t>(host)]->grants;
            count += static_cast<std::size_t>(grants.end() - std::lower_bound(grants.begin(), grants.end(), begin));
        }
        return count;
    }

    std::size_t grantsSince(TimePoint begin) const
    {
        return grantsSince({0, 1, 2, 3}, begin);
    }

    std::size_t mostGrantsInWindow() const
    {
        std::vector<TimePoint> all;
        for (const auto &host : hosts) {
            all.insert(all.end(), host->grants.begin(), host->grants.end());
        }
        std::sort(all.begin(), all.end());
        std::size_t most = 0;
        for (auto first = all.begin(); first != all.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, all.end(), *first + window) - first));
        }
        return most;
    }

    // Runs through a cut of these hosts, and checks the rate.
    void checkCut(const std::vector<int> &cut)
    {
        run(milliseconds(2500));
        cutOff(cut);
        run(milliseconds(2500));
        const TimePoint later = Clock::now();
        run(milliseconds(2000));
        CHECK_TEXT(grantsSince(cut, later) > 0, "the hosts that are cut off use their part");
        CHECK_TEXT(grantsSince(cut, later) < grantsSince(later), "the others use theirs");
        cutOff({});
        run(milliseconds(4000));
        const TimePoint healed = Clock::now();
        run(milliseconds(2000));
        CHECK_TEXT(static_cast<double>(grantsSince(healed)) >= coldRate, "the rate is used again");
        CHECK(static_cast<double>(mostGrantsInWindow()) <= coldRate);
    }
};

}

TEST_GROUP(CutOffHostTest){};

// Guards against a cold upstream that gets its rate once from the owner and once more from a host that cannot reach it.
TEST(CutOffHostTest, ACutOffHostAndTheOwnerKeepTheRateOfAColdUpstream)
{
    Fleet fleet;
    fleet.checkCut({(Fleet::owner() + 1) % hostCount});
}

// Guards against the same with the owner cut off, which goes on to place the requests of its own callers.
TEST(CutOffHostTest, ACutOffOwnerAndItsSuccessorKeepTheRateOfAColdUpstream)
{
    Fleet fleet;
    fleet.checkCut({Fleet::owner()});
}

// Guards against the same between two halves of the fleet.
TEST(CutOffHostTest, TwoHalvesOfAFleetKeepTheRateOfAColdUpstream)
{
    Fleet fleet;
    fleet.checkCut({Fleet::owner(), (Fleet::owner() + 1) % hostCount});
}

// Guards against two owners for good: the probes of an owner that was passed over go over a connection that passes nothing any more, and show for ever that it
// is silent.
TEST(CutOffHostTest, AnOwnerIsAskedAgainAfterTheConnectionOfTheProbesWentSilent)
{
    Fleet fleet;
    fleet.run(milliseconds(1000));
    fleet.cutOff({Fleet::owner()});
    fleet.run(milliseconds(1500));
    for (const auto &[ends, relay] : fleet.relays) {
        relay->silenceOpenConnections();
    }
    fleet.cutOff({});
    fleet.run(milliseconds(2500));
    for (const auto &host : fleet.hosts) {
        CHECK(host->placement.peers().owners().owner(service) == hostId(Fleet::owner()));
    }
}
