// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/HeartbeatPlan.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Membership;

namespace {

std::vector<PlannedHost> fleet(int dataCentres, int hostsEach)
{
    std::vector<PlannedHost> hosts;
    for (int dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        for (int host = 0; host < hostsEach; ++host) {
            const std::string name = "dc" + std::to_string(dataCentre);
            hosts.push_back({HostId(name + "-host" + std::to_string(host)), DataCentreId(name)});
        }
    }
    return hosts;
}

}

TEST_GROUP(HeartbeatPlanTest){};

// Guards against a plan under which a host sends plus receives more than 6 KB/s at design scale.
TEST(HeartbeatPlanTest, StaysUnderBudgetAtDesignScale)
{
    constexpr double limit = 6000;
    const std::vector<PlannedHost> hosts = fleet(19, 43);
    const HeartbeatPlan plan(hosts, HeartbeatPlanSettings());
    double most = 0;
    for (const PlannedHost &host : hosts) {
        most = std::max(most, plan.trafficOf(host.host));
    }
    UT_PRINT(
        ("busiest host " + std::to_string(most) + " B/s, mesh interval " + std::to_string(Seconds(plan.meshInterval(hosts[0].host)).count()) + " s").c_str());
    CHECK(most > 0 && most < limit);
    CHECK(Seconds(plan.meshInterval(hosts[0].host)).count() < 20);
}

// Guards against a plan that keeps the budget at only one fleet size.
TEST(HeartbeatPlanTest, StaysUnderBudgetAtOtherScales)
{
    Testing::checkProperty("no host exceeds 6 KB/s", [] {
        const auto hosts = fleet(*rc::gen::inRange(1, 20), *rc::gen::inRange(1, 60));
        const HeartbeatPlan plan(hosts, HeartbeatPlanSettings());
        for (const PlannedHost &host : hosts) {
            RC_ASSERT(plan.trafficOf(host.host) < 6000);
            RC_ASSERT(plan.meshInterval(host.host) >= std::chrono::seconds(1));
        }
    });
}

// Guards against a message of the plan that trafficOf() leaves out: the test counts the traffic again from the plan's targets.
TEST(HeartbeatPlanTest, TrafficFunctionCountsEveryMessage)
{
    const std::vector<PlannedHost> hosts = fleet(5, 7);
    const HeartbeatPlanSettings settings;
    const HeartbeatPlan plan(hosts, settings);
    const HostId &host = hosts[3].host;
    const double digest = digestBytes + claimsPerDigest * hostClaimBytes + settings.digestLoadBytes;
    const double heartbeat = messageOverheadBytes + heartbeatBytes;
    double watch = heartbeat * static_cast<double>(plan.watchersOf(host).size() + plan.watchedBy(host).size());
    double mesh = 0;
    double link = 0;
    for (const DataCentreLink &candidate : plan.links()) {
        link += candidate.from == host || candidate.to == host ? messageOverheadBytes + digest : 0;
        mesh += candidate.to == host ? digest * static_cast<double>(plan.meshTargets(host).size()) : 0;
        mesh += candidate.toDataCentre == hosts[3].dataCentre ? digest : 0;
    }
    mesh += 2 * (heartbeat + static_cast<double>(settings.loadBytes)) * static_cast<double>(plan.meshTargets(host).size());
    const double expected
        = watch / Seconds(plan.watchInterval()).count() + mesh / Seconds(plan.meshInterval(host)).count() + link / Seconds(plan.linkInterval(host)).count();
    DOUBLES_EQUAL(expected, plan.trafficOf(host), 0.001);
}

// Guards against hosts without watchers, data centres without links, and links of one pair that share a host without need.
TEST(HeartbeatPlanTest, EveryHostIsWatchedAndEveryPairLinked)
{
    Testing::checkProperty("watchers are mutual and pairs are linked", [] {
        const int dataCentres = *rc::gen::inRange(1, 8);
        const int hostsEach = *rc::gen::inRange(2, 12);
        const auto hosts = fleet(dataCentres, hostsEach);
        const HeartbeatPlan plan(hosts, HeartbeatPlanSettings());
        for (const PlannedHost &host : hosts) {
            const auto watchers = plan.watchersOf(host.host);
            RC_ASSERT(watchers.size() == static_cast<std::size_t>(std::min(2, hostsEach - 1)));
            RC_ASSERT(!watchers.contains(host.host));
            RC_ASSERT(std::all_of(watchers.begin(), watchers.end(), [&](const HostId &watcher) {
                return plan.watchedBy(watcher).contains(host.host);
            }));
        }
        std::map<std::pair<DataCentreId, DataCentreId>, std::pair<std::set<HostId>, std::set<HostId>>> pairs;
        for (const DataCentreLink &link : plan.links()) {
            auto &[from, to] = pairs[{link.fromDataCentre, link.toDataCentre}];
            from.insert(link.from);
            to.insert(link.to);
        }
        RC_ASSERT(pairs.size() == static_cast<std::size_t>(dataCentres * (dataCentres - 1)));
        for (const auto &[pair, ends] : pairs) {
            RC_ASSERT(ends.first.size() == 2U && ends.second.size() == 2U);
        }
    });
}
