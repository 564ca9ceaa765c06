// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/HeartbeatSender.h"
#include "Membership/MembershipTable.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HostId self("self");
const HostId peer("peer");

Heartbeat heartbeatOf(const HostId &host, std::uint64_t incarnation, std::uint64_t sequence, const std::string &dataCentre = "poa")
{
    return {.host = host,
            .incarnation = incarnation,
            .sequence = sequence,
            .dataCentre = DataCentreId(dataCentre),
            .region = RegionId("sul"),
            .address = "10.0.0." + std::to_string(host.value().size()),
            .port = 7000,
            .revision = 1,
            .leaving = false,
            .loadSummary = {},
            .digests = {}};
}

HostStatus claimAbout(const HostId &host, std::uint64_t incarnation, std::uint64_t sequence, HostState state, const std::string &dataCentre = "poa")
{
    return {.host = host,
            .incarnation = incarnation,
            .sequence = sequence,
            .state = state,
            .dataCentre = DataCentreId(dataCentre),
            .region = RegionId("sul"),
            .address = "10.0.0.9",
            .port = 7000};
}

DigestReceived digestFrom(const std::string &dataCentre, std::uint64_t sequence, std::vector<HostStatus> hosts)
{
    return {{.dataCentre = DataCentreId(dataCentre),
             .region = RegionId("sul"),
             .sender = HostId("remote"),
             .senderIncarnation = 1,
             .sequence = sequence,
             .hosts = std::move(hosts),
             .loadSummary = "load"}};
}

/// A membership table, its clock and all actions that it has returned.
struct Fixture {
    MembershipTable table{heartbeatOf(self, 1, 0), MembershipSettings()};
    TimePoint now{seconds(1000)};
    std::vector<MembershipAction> actions;

    std::vector<MembershipAction> send(const MembershipEvent &event)
    {
        auto result = table.handle(event, now);
        actions.insert(actions.end(), result.begin(), result.end());
        return result;
    }

    /// Ticks every 100 ms for \p time; \p react is called with the actions of each tick.
    template<class React>
    void advance(milliseconds time, React &&react)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
            now += milliseconds(100);
            react(send(MembershipTick()));
        }
    }

    void advance(milliseconds time)
    {
        advance(time, [](const auto &) {});
    }

    template<class Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const MembershipAction &action : actions) {
            if (const auto *match = std::get_if<Action>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    std::size_t deaths() const
    {
        const auto changes = all<HostStateChanged>();
        return static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(), [](const HostStateChanged &change) {
            return change.now == HostState::Dead;
        }));
    }

    HostState stateOf(const HostId &host) const
    {
        return table.hosts().at(host).status.state;
    }
};

}

TEST_GROUP(MembershipTableTest){};

// Guards against death without a failed probe and a suspicion before it, and against a silent host that stays alive.
TEST(MembershipTableTest, SilenceLeadsToProbeThenSuspicionThenDeath)
{
    Fixture fixture;
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    fixture.advance(seconds(3));
    CHECK(fixture.stateOf(peer) == HostState::Alive);
    fixture.advance(milliseconds(200));
    LONGS_EQUAL(1, fixture.all<ProbeHost>().size());
    CHECK(fixture.stateOf(peer) == HostState::Alive);
    fixture.advance(milliseconds(600));
    CHECK(fixture.stateOf(peer) == HostState::Suspect);
    LONGS_EQUAL(1, fixture.all<SpreadSuspicion>().size());
    fixture.advance(seconds(2));
    CHECK(fixture.stateOf(peer) == HostState::Suspect);
    fixture.advance(seconds(2));
    CHECK(fixture.stateOf(peer) == HostState::Dead);
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    CHECK_TEXT(fixture.stateOf(peer) == HostState::Dead, "a duplicate heartbeat does not show that the host is alive");
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 2)});
    CHECK(fixture.stateOf(peer) == HostState::Alive);
}

// Guards against death by elapsed time alone, when the observer itself was delayed and had sent hardly any probes.
TEST(MembershipTableTest, DeathNeedsSeveralFailedProbes)
{
    Fixture fixture;
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    fixture.advance(seconds(4));
    CHECK(fixture.stateOf(peer) == HostState::Suspect);
    fixture.now += seconds(10);
    fixture.send(MembershipTick());
    fixture.send(MembershipTick());
    fixture.advance(milliseconds(400));
    CHECK(fixture.stateOf(peer) == HostState::Suspect);
}

// Guards against declaring a host dead whose connections are silent or half-open but which answers on a new connection, under lost,
// duplicated and reordered heartbeats, wrong claims of other hosts, an outdated host list and pauses of the observer.
TEST(MembershipTableTest, HostThatAnswersProbesNeverDies)
{
    Testing::checkProperty("a live host that answers probes is never declared dead", [] {
        Fixture fixture;
        std::uint64_t sequence = 1;
        fixture.send(HeartbeatReceived{heartbeatOf(peer, 5, sequence)});
        const auto answer = [&](const std::vector<MembershipAction> &actions) {
            for (const MembershipAction &action : actions) {
                if (const auto *probe = std::get_if<ProbeHost>(&action); probe != nullptr && probe->host == peer) {
                    fixture.now += milliseconds(*rc::gen::inRange(0, 400));
                    fixture.send(ProbeAnswered{peer, probe->probe, heartbeatOf(peer, 5, *rc::gen::inRange<std::uint64_t>(1, sequence + 1))});
                }
            }
        };
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                answer(fixture.send(HeartbeatReceived{heartbeatOf(peer, 5, ++sequence)}));
                break;
            case 1: // duplicate or out of order
                answer(fixture.send(HeartbeatReceived{heartbeatOf(peer, 5, *rc::gen::inRange<std::uint64_t>(1, sequence + 1))}));
                break;
            case 2:
                answer(fixture.send(ConnectionBroken{peer}));
                break;
            case 3:
                answer(fixture.send(digestFrom("poa", 1, {claimAbout(peer, 5, sequence + deathSequenceMargin, HostState::Dead)})));
                break;
            case 4: // outdated list: the peer is missing and another host is listed at its address
                answer(fixture.send(HostListReceived{{{HostId("old"), DataCentreId("poa"), RegionId("sul"), "10.0.0.4", 7000, false}}}));
                break;
            case 5:
                fixture.now += seconds(*rc::gen::inRange(1, 60));
                answer(fixture.send(ViewExpired()));
                break;
            case 6:
                answer(fixture.send(HeartbeatReceived{heartbeatOf(peer, 4, sequence + 100)}));
                break;
            default:
                fixture.advance(milliseconds(*rc::gen::inRange(100, 8000)), answer);
            }
        }
        const auto changes = fixture.all<HostStateChanged>();
        RC_ASSERT(std::none_of(changes.begin(), changes.end(), [](const HostStateChanged &change) {
            return change.host == peer && change.now == HostState::Dead;
        }));
    });
}

// Guards against a late message of an earlier process that replaces the record of the running process.
TEST(MembershipTableTest, OlderIncarnationNeverReplacesNewer)
{
    Testing::checkProperty("the incarnation of a record never decreases", [] {
        Fixture fixture;
        const std::string dataCentre = *rc::gen::element<std::string>("poa", "cwb");
        std::uint64_t known = 0;
        for (int step = 0; step < 30; ++step) {
            const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 6);
            const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 400);
            const auto state = *rc::gen::element(HostState::Alive, HostState::Suspect, HostState::Leaving, HostState::Dead);
            const auto probes = fixture.all<ProbeHost>();
            const std::uint64_t probe = probes.empty() ? 1 : probes.back().probe;
            const MembershipEvent event
                = *rc::gen::element<MembershipEvent>(HeartbeatReceived{heartbeatOf(peer, incarnation, sequence, dataCentre)},
                                                     ProbeAnswered{peer, probe, heartbeatOf(peer, incarnation, sequence, dataCentre)},
                                                     digestFrom("cwb", sequence, {claimAbout(peer, incarnation, sequence, state, dataCentre)}),
                                                     ConnectionBroken{peer},
                                                     MembershipTick());
            fixture.now += milliseconds(*rc::gen::inRange(0, 3000));
            fixture.send(event);
            if (!fixture.table.hosts().empty()) {
                RC_ASSERT(fixture.table.hosts().at(peer).status.incarnation >= known);
                known = fixture.table.hosts().at(peer).status.incarnation;
            }
        }
    });
}

// Guards against an unnoticed restart, and against a dead host that stays alive in the table because a new host uses its address.
TEST(MembershipTableTest, ReturnAtOldAddressIsNewHost)
{
    Fixture fixture;
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 50)});
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 2, 1)});
    const auto changes = fixture.all<HostStateChanged>();
    LONGS_EQUAL(3, changes.size());
    CHECK(changes[1].now == HostState::Dead && changes[1].incarnation == 1);
    CHECK(changes[2].now == HostState::Alive && changes[2].incarnation == 2);
    const HostId successor("next"); // an id of the same length, so the same address
    fixture.send(HeartbeatReceived{heartbeatOf(successor, 1, 1)});
    LONGS_EQUAL(1, fixture.all<ProbeHost>().size());
    CHECK_TEXT(fixture.stateOf(peer) == HostState::Alive, "the host is probed before it counts as replaced");
    fixture.send(ProbeAnswered{peer, fixture.all<ProbeHost>()[0].probe, heartbeatOf(successor, 1, 2)});
    CHECK(fixture.stateOf(peer) == HostState::Dead);
    CHECK(fixture.stateOf(successor) == HostState::Alive);
    fixture.send(HeartbeatReceived{heartbeatOf(self, 2, 1)});
    LONGS_EQUAL(1, fixture.all<LocalHostReplaced>().size());
}

// Guards against a half-open connection that stays in use after the host answered a probe on a new connection.
TEST(MembershipTableTest, SilentLinkIsReplaced)
{
    Fixture fixture;
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    fixture.advance(milliseconds(3200));
    fixture.send(ProbeAnswered{peer, fixture.all<ProbeHost>().at(0).probe, heartbeatOf(peer, 1, 4)});
    LONGS_EQUAL(1, fixture.all<ReplaceConnection>().size());
    CHECK(fixture.stateOf(peer) == HostState::Alive);
}

// Guards against an outdated host list that marks a dead host alive or removes a live one, and against a listed host that is never probed.
TEST(MembershipTableTest, LateHostListOnlyIntroducesHosts)
{
    Fixture fixture;
    const HostId dead("dead host");
    fixture.send(HeartbeatReceived{heartbeatOf(dead, 1, 1)});
    fixture.advance(seconds(8));
    CHECK(fixture.stateOf(dead) == HostState::Dead);
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    const HostId listed("listed host");
    fixture.send(HostListReceived{
        {{dead, DataCentreId("poa"), RegionId("sul"), "10.0.0.9", 7000, false}, {listed, DataCentreId("poa"), RegionId("sul"), "10.0.0.11", 7000, false}}});
    CHECK(fixture.stateOf(dead) == HostState::Dead);
    CHECK(fixture.stateOf(peer) == HostState::Alive);
    CHECK(fixture.stateOf(listed) == HostState::Listed);
    CHECK(fixture.all<ProbeHost>().back().host == listed);
}

// Guards against missing or repeated fetches, and against a fetch from a peer whose revision is not higher.
TEST(MembershipTableTest, FetchesHigherRevisionOnce)
{
    Fixture fixture;
    Heartbeat heartbeat = heartbeatOf(peer, 1, 1);
    heartbeat.revision = 9;
    fixture.send(HeartbeatReceived{heartbeat});
    ++heartbeat.sequence;
    fixture.send(HeartbeatReceived{heartbeat});
    LONGS_EQUAL(1, fixture.all<FetchConfiguration>().size());
    fixture.advance(seconds(1));
    ++heartbeat.sequence;
    fixture.send(HeartbeatReceived{heartbeat});
    LONGS_EQUAL_TEXT(2, fixture.all<FetchConfiguration>().size(), "a lost fetch is repeated");
    fixture.send(LocalRevisionChanged{9});
    fixture.advance(seconds(1));
    ++heartbeat.sequence;
    fixture.send(HeartbeatReceived{heartbeat});
    LONGS_EQUAL(2, fixture.all<FetchConfiguration>().size());
}

// Guards against relayed copies of a digest that keep a lost data centre reachable, and against a data centre that counts as lost without
// a probe.
TEST(MembershipTableTest, DataCentreWithoutDigestsIsProbedFirst)
{
    Fixture fixture;
    const HostId remote("remote");
    fixture.send(digestFrom("cwb", 1, {claimAbout(remote, 1, 1, HostState::Alive, "cwb")}));
    CHECK(fixture.stateOf(remote) == HostState::Alive);
    for (int second = 0; second < 4; ++second) {
        fixture.send(digestFrom("cwb", 1, {}));
        fixture.advance(seconds(1));
    }
    fixture.advance(milliseconds(200));
    LONGS_EQUAL(1, fixture.all<ProbeHost>().size());
    CHECK(fixture.table.isReachable(DataCentreId("cwb")));
    fixture.advance(seconds(1));
    CHECK_FALSE(fixture.table.isReachable(DataCentreId("cwb")));
    fixture.send(digestFrom("cwb", 2, {claimAbout(remote, 1, 2, HostState::Alive, "cwb")}));
    CHECK(fixture.table.isReachable(DataCentreId("cwb")));
    CHECK(fixture.stateOf(remote) == HostState::Alive);
}

// Guards against a host that was wrongly declared dead and whose heartbeats the other hosts then ignore.
TEST(MembershipTableTest, LiveHostRefutesClaimOfItsDeath)
{
    Fixture fixture;
    const HostStatus claim = claimAbout(self, 1, 700, HostState::Dead);
    fixture.send(RosterReceived{{DataCentreId("poa"), RegionId("sul"), {{self, claim}}}});
    fixture.table.nextHeartbeat();
    CHECK(supersedes(fixture.table.roster().hosts.at(self), claim));
}

// Guards against a view that counts as renewed after a pause before the hosts of the data centre were probed.
TEST(MembershipTableTest, RenewsViewByProbingItsDataCentre)
{
    Fixture fixture;
    const HostId other("other");
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    fixture.send(HeartbeatReceived{heartbeatOf(other, 1, 1)});
    fixture.now += seconds(60);
    fixture.send(ViewExpired());
    const auto probes = fixture.all<ProbeHost>();
    LONGS_EQUAL(2, probes.size());
    fixture.send(ProbeAnswered{probes[0].host, probes[0].probe, heartbeatOf(probes[0].host, 1, 2)});
    LONGS_EQUAL(0, fixture.all<ViewRenewed>().size());
    fixture.send(ProbeFailed{probes[1].host, probes[1].probe});
    LONGS_EQUAL(1, fixture.all<ViewRenewed>().size());
    LONGS_EQUAL(0, fixture.deaths());
}

// Guards against a partition after which two hosts that declared each other dead never see each other alive again.
TEST(MembershipTableTest, PartitionHeals)
{
    Fixture fixture;
    fixture.send(HeartbeatReceived{heartbeatOf(peer, 1, 1)});
    fixture.advance(seconds(30));
    CHECK(fixture.stateOf(peer) == HostState::Dead);
    const auto before = fixture.all<ProbeHost>().size();
    fixture.advance(seconds(20));
    const auto probes = fixture.all<ProbeHost>();
    CHECK(probes.size() > before);
    fixture.send(ProbeAnswered{peer, probes.back().probe, heartbeatOf(peer, 1, 1)});
    CHECK(fixture.stateOf(peer) == HostState::Alive);
}

// Guards against heartbeats that omit a host of the data centre, load summaries and digests that are not relayed, and wrong intervals.
TEST(MembershipTableTest, SenderFollowsPlan)
{
    Fixture fixture;
    std::vector<PlannedHost> hosts = {{self, DataCentreId("poa")}, {HostId("remote"), DataCentreId("cwb")}};
    for (int index = 0; index < 60; ++index) {
        hosts.push_back({HostId("h" + std::to_string(index)), DataCentreId("poa")});
    }
    const HeartbeatPlan plan(hosts, HeartbeatPlanSettings());
    HeartbeatSender sender(fixture.table);
    sender.handle(PlanAdopted{plan}, fixture.now);
    sender.handle(LinkDigestReceived{digestFrom("cwb", 1, {}).digest}, fixture.now);
    std::map<HostId, std::vector<TimePoint>> heartbeatsWithLoad;
    std::map<HostId, int> heartbeatsWithoutLoad;
    std::map<HostId, int> relays;
    const Duration round = plan.meshInterval(self);
    const std::set<HostId> watchers = plan.watchersOf(self);
    CHECK(round > seconds(5));
    const milliseconds tick(100);
    for (const TimePoint end = fixture.now + 3 * round + tick; fixture.now < end; fixture.now += tick) {
        for (const SenderAction &action : sender.handle(SenderTick{"load", "all"}, fixture.now)) {
            if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action)) {
                relays[heartbeat->target] += static_cast<int>(heartbeat->heartbeat.digests.size());
                if (heartbeat->heartbeat.loadSummary == "load") {
                    heartbeatsWithLoad[heartbeat->target].push_back(fixture.now);
                } else {
                    ++heartbeatsWithoutLoad[heartbeat->target];
                }
            }
        }
    }
    LONGS_EQUAL(60, heartbeatsWithLoad.size());
    LONGS_EQUAL(watchers.size(), heartbeatsWithoutLoad.size());
    for (const auto &[host, times] : heartbeatsWithLoad) {
        CHECK_TEXT(times.size() >= 2, host.value().c_str());
        for (std::size_t index = 1; index < times.size(); ++index) {
            const Duration gap = times[index] - times[index - 1];
            CHECK_TEXT(gap >= round && gap < round + tick, host.value().c_str());
        }
        CHECK_TEXT(relays[host] == 1 || relays[host] == 2, "a digest is relayed for one round");
    }
    for (const HostId &watcher : watchers) {
        CHECK(heartbeatsWithoutLoad[watcher] >= 3 * round / plan.watchInterval() - 6);
    }
}
