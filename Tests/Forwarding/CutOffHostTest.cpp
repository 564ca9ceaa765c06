#include "Base/Hash.h"

#include "ColdUpstreamHost.h"
#include "LoopbackNetwork.h"
#include "Soak/FaultProxy.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace Mangofall;
using namespace Mangofall::Testing;
using Soak::FaultProxy;
using Soak::LinkFault;

namespace {

constexpr int hostCount = 4;
constexpr int requestsOfHost = 40;
constexpr std::uint16_t port = 18795;
// Of the second that the rate is for, less the time that a grant may take to its host.
constexpr milliseconds window{900};

HostId hostId(int index)
{
    return HostId("h" + std::to_string(index));
}

NetworkAddress hostAddress(int index)
{
    return {loopbackNetwork() + std::to_string(index + 1), port};
}

// Hosts that reach each other through proxies. What is sent during a cut is lost, and with it the connection.
struct Fleet {
    boost::asio::io_context io{1};
    std::map<std::pair<int, int>, std::unique_ptr<FaultProxy>> proxies;
    std::vector<std::vector<TimePoint>> grants{hostCount};
    std::vector<std::unique_ptr<Host>> hosts;

    Fleet()
    {
        for (int index = 0; index < hostCount; ++index) {
            hosts.push_back(std::make_unique<Host>(FleetHost{hostId(index), hostAddress(index), {}, 1}, grants[static_cast<std::size_t>(index)]));
            hosts.back()->placement.setUpstreams({coldUpstream()});
        }
        for (int viewer = 0; viewer < hostCount; ++viewer) {
            std::vector<FleetHost> seen;
            seen.reserve(hostCount);
            for (int target = 0; target < hostCount; ++target) {
                seen.push_back({hostId(target), target == viewer ? hostAddress(target) : way(viewer, target), {}, 1});
            }
            hosts[static_cast<std::size_t>(viewer)]->placement.setHosts(seen);
        }
        for (int request = 0; request < requestsOfHost * hostCount; ++request) {
            hosts[static_cast<std::size_t>(request % hostCount)]->submit();
        }
    }

    NetworkAddress way(int viewer, int target)
    {
        std::unique_ptr<FaultProxy> &proxy = proxies[{viewer, target}];
        proxy = std::make_unique<FaultProxy>(io, [target]() {
            return hostAddress(target);
        });
        return {"127.0.0.1", proxy->port()};
    }

    // Cuts all ways between these hosts and the others.
    void cutOff(const std::vector<int> &cut)
    {
        for (const auto &[ends, proxy] : proxies) {
            const bool isCut = std::count(cut.begin(), cut.end(), ends.first) != std::count(cut.begin(), cut.end(), ends.second);
            proxy->setFault(isCut ? LinkFault::Silent : LinkFault::None);
        }
    }

    void run(milliseconds time)
    {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end; std::this_thread::sleep_for(milliseconds(1))) {
            io.poll();
            for (const auto &host : hosts) {
                host->io.poll();
            }
        }
    }

    // The owner in the eyes of hosts that are in touch.
    static int owner()
    {
        int best = 0;
        for (int index = 1; index < hostCount; ++index) {
            const bool isHigher = rendezvousScore(service.value(), hostId(index).value()) > rendezvousScore(service.value(), hostId(best).value());
            best = isHigher ? index : best;
        }
        return best;
    }

    // The grants of these hosts since \p begin, in their order.
    std::vector<TimePoint> grantsOf(const std::vector<int> &some, TimePoint begin = TimePoint()) const
    {
        std::vector<TimePoint> all;
        for (const int host : some) {
            std::copy_if(
                grants[static_cast<std::size_t>(host)].begin(), grants[static_cast<std::size_t>(host)].end(), std::back_inserter(all), [&](TimePoint grant) {
                    return grant >= begin;
                });
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    std::size_t mostGrantsInWindow() const
    {
        const std::vector<TimePoint> all = grantsOf({0, 1, 2, 3});
        std::size_t most = 0;
        for (auto first = all.begin(); first != all.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, all.end(), *first + window) - first));
        }
        return most;
    }

    // Runs through a cut of these hosts, and checks the rate and who owns the service afterwards.
    void checkCut(const std::vector<int> &cut)
    {
        run(milliseconds(2500));
        cutOff(cut);
        run(milliseconds(2500));
        const TimePoint later = Clock::now();
        run(milliseconds(2000));
        CHECK_TEXT(!grantsOf(cut, later).empty(), "the hosts that are cut off use their part");
        CHECK_TEXT(grantsOf(cut, later).size() < grantsOf({0, 1, 2, 3}, later).size(), "the others use theirs");
        cutOff({});
        run(milliseconds(6000));
        const TimePoint healed = Clock::now();
        run(milliseconds(2000));
        CHECK_TEXT(static_cast<double>(grantsOf({0, 1, 2, 3}, healed).size()) >= coldRate, "the rate is used again");
        CHECK(static_cast<double>(mostGrantsInWindow()) <= coldRate);
        for (const auto &host : hosts) {
            CHECK(host->placement.peers().owners().owner(service) == hostId(owner()));
        }
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
    fleet.cutOff({});
    fleet.run(milliseconds(2500));
    for (const auto &host : fleet.hosts) {
        CHECK(host->placement.peers().owners().owner(service) == hostId(Fleet::owner()));
    }
}
