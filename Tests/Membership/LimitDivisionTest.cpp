// CppUTest redefines new, so headers that use other forms of new come first.
#include "Base/RandomEngine.h"

#include <variant>

#include "Property.h"

#include "Admission/LimitDivision.h"
#include "Membership/HeartbeatPlan.h"

#include <algorithm>
#include <memory>
#include <set>

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const LimitKey key{OrganisationId("engravers"), LimitKind::TokensInFlight};
constexpr LimitUnits limit = 1'000'003;
constexpr int hostCount = 4;

LimitDivisionSettings settingsForTests()
{
    LimitDivisionSettings settings;
    settings.groups = 1;
    settings.maxHosts = hostCount;
    settings.allocationValidity = seconds(30);
    settings.demandInterval = seconds(12);
    settings.urgentInterval = seconds(2);
    settings.authority = {.validity = seconds(60), .renewal = seconds(20), .successorWait = seconds(60), .retry = seconds(3), .poll = seconds(5)};
    return settings;
}

const LimitsChanged limits{{{key, limit}}};

HostId nameOf(int host)
{
    return HostId("host" + std::to_string(host));
}

/// One process: it runs a client, and an allocator while it holds the authority's lease.
struct Process {
    Process(int number, std::uint64_t incarnation)
        : client(nameOf(number), incarnation, settingsForTests())
        , authority(nameOf(number), incarnation, limitAuthorityKey(0), settingsForTests().authority)
    {
        client.handle(limits, TimePoint());
    }

    LimitClient client;
    StoreLease authority;
    std::unique_ptr<LimitAllocator> allocator;
    std::uint64_t term = 0;
    bool running = true; ///< False while paused or dead.
    std::uint64_t call = 0; ///< Number of the pending store call; 0 if there is none. A call completes once, by its answer or a timeout.
    TimePoint called;
};

using StoreCall = std::variant<ReadLease, WriteLease>;
using Message = std::variant<LimitDemand, LimitGrant, StoreCall, LeaseEvent>;

struct Envelope {
    int from = 0;
    int to = 0; ///< The store if equal to hostCount.
    Message message;
    std::uint64_t call = 0; ///< Set for store calls and their answers.
};

/// Hosts, the key in the store and the messages in flight; the tests choose the order of events.
struct Fleet {
    std::vector<Process> processes;
    std::vector<Envelope> messages;
    TimePoint now{seconds(10'000)};
    std::uint64_t version = 0;
    LeaseValue value;
    int terms = 0;
    std::uint64_t calls = 0;

    Fleet()
    {
        for (int host = 0; host < hostCount; ++host) {
            processes.emplace_back(host, 1);
        }
    }

    Process &at(int host)
    {
        return processes[static_cast<std::size_t>(host)];
    }

    void call(int host, const StoreCall &request)
    {
        at(host).call = ++calls;
        at(host).called = now;
        messages.push_back({host, hostCount, request, calls});
    }

    void authority(int host, const LeaseEvent &event)
    {
        Process &process = at(host);
        for (const LeaseAction &action : process.authority.handle(event, now)) {
            if (const auto *read = std::get_if<ReadLease>(&action)) {
                call(host, *read);
            } else if (const auto *write = std::get_if<WriteLease>(&action)) {
                call(host, *write);
            } else if (const auto *granted = std::get_if<LeaseGranted>(&action)) {
                if (!process.allocator || process.term != granted->term) {
                    process.allocator = std::make_unique<LimitAllocator>(0, granted->term, settingsForTests());
                    process.term = granted->term;
                    ++terms;
                    process.allocator->handle(limits, now);
                    process.allocator->handle(ClientCountChanged{hostCount}, now);
                }
                process.allocator->handle(AllocationAllowed{granted->until}, now);
            } else {
                process.allocator.reset();
            }
        }
    }

    void setWanted(int host, bool wanted)
    {
        Process &process = at(host);
        authority(host, LeaseWanted{wanted, process.allocator ? process.allocator->lastExpiry() : TimePoint()});
    }

    void handleClientEvent(int host, const LimitClientEvent &event)
    {
        for (const LimitClientAction &action : at(host).client.handle(event, now)) {
            const auto &send = std::get<SendLimitDemand>(action);
            for (int allocator = 0; allocator < hostCount; ++allocator) {
                if (nameOf(allocator) == send.allocator) {
                    messages.push_back({host, allocator, send.demand});
                }
            }
        }
    }

    void executeStoreCall(int host, const StoreCall &call, std::uint64_t number)
    {
        LeaseEvent answer = LeaseRead{version, value};
        if (const auto *write = std::get_if<WriteLease>(&call)) {
            if (write->expectedVersion == version) {
                value = write->value;
                answer = LeaseWritten{++version};
            } else {
                answer = LeaseConflict();
            }
        }
        messages.push_back({hostCount, host, answer, number});
    }

    void deliver(const Envelope &envelope)
    {
        if (envelope.to == hostCount) {
            executeStoreCall(envelope.from, std::get<StoreCall>(envelope.message), envelope.call);
            return;
        }
        Process &process = at(envelope.to);
        if (!process.running) {
            return;
        }
        if (const auto *demand = std::get_if<LimitDemand>(&envelope.message)) {
            if (process.allocator) {
                for (const LimitAllocatorAction &action : process.allocator->handle(LimitDemandReceived{*demand}, now)) {
                    messages.push_back({envelope.to, envelope.from, std::get<SendLimitGrant>(action).grant});
                }
            }
        } else if (const auto *grant = std::get_if<LimitGrant>(&envelope.message)) {
            handleClientEvent(envelope.to, LimitGrantReceived{*grant});
        } else if (envelope.call == process.call) {
            process.call = 0;
            authority(envelope.to, std::get<LeaseEvent>(envelope.message));
        }
    }

    /// Delivers the message at \p index and, if \p twice, keeps a copy for a later delivery. A store call takes effect only once.
    void deliverAt(std::size_t index, bool twice)
    {
        const Envelope envelope = messages[index];
        if (!twice || envelope.to == hostCount) {
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
        }
        deliver(envelope);
    }

    void tick()
    {
        for (int host = 0; host < hostCount; ++host) {
            if (at(host).running) {
                const bool late = at(host).call != 0 && now - at(host).called > seconds(5);
                at(host).call = late ? 0 : at(host).call;
                authority(host, late ? LeaseEvent(LeaseCallLost()) : LeaseEvent(LeaseTick()));
                handleClientEvent(host, LimitClientTick());
            }
        }
    }

    LimitUnits sum() const
    {
        LimitUnits total = 0;
        for (const Process &process : processes) {
            total += *process.client.shareOf(key, now);
        }
        return total;
    }

    /// Runs without faults: every message is delivered immediately, and ticks come every second.
    void run(seconds time)
    {
        for (seconds passed{0}; passed < time; passed += seconds(1)) {
            now += seconds(1);
            tick();
            while (!messages.empty()) {
                deliverAt(0, false);
            }
        }
    }
};

}

TEST_GROUP(LimitDivisionTest){};

// Guards against shares whose sum exceeds the limit when messages are delayed, lost, duplicated or reordered, store answers are lost,
// hosts pause, die and restart, and two hosts compete for the authority.
TEST(LimitDivisionTest, SharesNeverExceedLimit)
{
    int terms = 0;
    std::size_t allocations = 0;
    Testing::checkProperty("the sum of the shares in force is at most the limit", [&] {
        RandomEngine engine(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()));
        const auto below = [&](std::uint32_t bound) {
            return static_cast<int>(engine() % bound);
        };
        std::set<std::pair<int, int>> blocked;
        Fleet fleet;
        fleet.setWanted(0, true);
        fleet.setWanted(1, true);
        std::uint64_t incarnation = 1;
        const int faults = below(4); // runs with few faults reach states that need many messages in order
        const int longest = below(2) == 0 ? 800 : 8000;
        for (int step = 0; step < 4000; ++step) {
            const int host = below(hostCount);
            const int fault = below(100) < 4 * faults ? 1 + below(7) : -1;
            if (fault == 1 && !fleet.messages.empty()) {
                fleet.messages.erase(fleet.messages.begin() + below(static_cast<std::uint32_t>(fleet.messages.size())));
            } else if (fault == 2) {
                fleet.setWanted(host % 2, below(4) != 0);
            } else if (fault == 3) {
                fleet.at(host).running = !fleet.at(host).running || below(2) == 0;
            } else if (fault == 4 && below(4) == 0) {
                // A store call of the process that died may still take effect.
                fleet.at(host) = Process(host, ++incarnation);
                fleet.setWanted(host, host < 2);
            } else if (fault >= 6) {
                // A blocked link delays its messages until it opens again.
                const std::pair link = fault == 6 ? std::pair{host % 2, hostCount} : std::pair{below(hostCount + 1), host};
                if (blocked.erase(link) == 0) {
                    blocked.insert(link);
                }
            } else if (fault == 5) {
                fleet.now += seconds(below(70));
            } else if (!fleet.messages.empty() && below(4) != 0) {
                const auto start = fleet.messages.begin() + (below(4) == 0 ? below(static_cast<std::uint32_t>(fleet.messages.size())) : 0);
                const auto open = std::find_if(start, fleet.messages.end(), [&](const Envelope &envelope) {
                    return !blocked.contains({envelope.from, envelope.to});
                });
                if (open != fleet.messages.end()) {
                    fleet.deliverAt(static_cast<std::size_t>(open - fleet.messages.begin()), below(10) == 0);
                }
            } else {
                fleet.handleClientEvent(host, AllocatorsChanged{{{0, nameOf(below(2))}}});
                fleet.handleClientEvent(host, DemandObserved{key, below(8) == 0 ? LimitUnits{1} << static_cast<unsigned>(below(40)) : 0});
                fleet.now += std::chrono::milliseconds(below(static_cast<std::uint32_t>(longest)));
                fleet.tick();
            }
            RC_ASSERT(fleet.sum() <= limit);
            for (const Process &process : fleet.processes) {
                allocations += *process.client.shareOf(key, fleet.now) > floorShare(limit, settingsForTests()) ? 1 : 0;
            }
        }
        terms += fleet.terms;
    });
    CHECK_TEXT(allocations > 10'000 && terms > 500, "the runs must contain allocations and changes of the authority");
}

// Guards against a holder whose authority lasts longer than a successor waits: because it counts from the answer instead of the write,
// counts from a write that did not take effect, or starts a new term while allocations of an ended term are still valid.
TEST(LimitDivisionTest, AuthorityCountsFromEarliestWrite)
{
    StoreLease authority(nameOf(0), 1, limitAuthorityKey(0), settingsForTests().authority);
    const auto at = [](int second) {
        return TimePoint(seconds(second));
    };
    const auto grantedUntil = [](const StoreLease::Actions &actions) {
        return actions.empty() || !std::holds_alternative<LeaseGranted>(actions[0]) ? TimePoint() : std::get<LeaseGranted>(actions[0]).until;
    };
    authority.handle(LeaseWanted{true, TimePoint()}, at(0));
    const auto first = authority.handle(LeaseRead{0, {}}, at(1));
    const LeaseValue value = std::get<WriteLease>(first[0]).value;
    authority.handle(LeaseCallLost(), at(6));
    authority.handle(LeaseTick(), at(10));
    CHECK_TEXT(grantedUntil(authority.handle(LeaseRead{1, value}, at(12))) == at(61), "the write was sent at second 1");
    LONGS_EQUAL(1, authority.handle(LeaseTick(), at(21)).size());
    authority.handle(LeaseCallLost(), at(26));
    authority.handle(LeaseTick(), at(30));
    const auto again = authority.handle(LeaseRead{1, value}, at(35));
    CHECK_TEXT(grantedUntil(again) == TimePoint(), "the renewal has not taken effect");
    LONGS_EQUAL(1, std::get<WriteLease>(again[0]).expectedVersion);
    CHECK_TEXT(grantedUntil(authority.handle(LeaseWritten{2}, at(36))) == at(81), "the renewal of second 21 may have been the one seen");
    const auto release = authority.handle(LeaseWanted{false, at(70)}, at(40));
    CHECK(std::holds_alternative<LeaseEnded>(release[0]));
    CHECK(std::get<WriteLease>(release[1]).value.wait == seconds(30));
    authority.handle(LeaseWanted{true, at(70)}, at(41));
    authority.handle(LeaseCallLost(), at(45));
    authority.handle(LeaseTick(), at(50));
    LONGS_EQUAL_TEXT(0, authority.handle(LeaseRead{2, value}, at(51)).size(), "allocations of the ended term may be valid until second 70");
    CHECK(std::holds_alternative<ReadLease>(authority.handle(LeaseTick(), at(69)).at(0)));
    const auto next = authority.handle(LeaseRead{2, value}, at(70));
    LONGS_EQUAL(3, std::get<WriteLease>(next[0]).value.term);
}

// Guards against a successor that waits for the full validity of a released lease, and one whose wait starts again at every read.
TEST(LimitDivisionTest, SuccessorFollowsRelease)
{
    const LeaseSettings settings = settingsForTests().authority;
    const auto takesOver = [&](bool released) {
        StoreLease successor(nameOf(1), 1, limitAuthorityKey(0), settings);
        TimePoint now{seconds(100)};
        const TimePoint start = now;
        const LeaseValue held{nameOf(0), 1, 1, seconds(60)};
        auto actions = successor.handle(LeaseWanted{true, TimePoint()}, now);
        while (now - start < seconds(200) && (actions.empty() || !std::holds_alternative<WriteLease>(actions[0]))) {
            const bool late = released && now - start > seconds(7);
            const LeaseRead answer = late ? LeaseRead{2, {HostId(), 0, 1, seconds(3)}} : LeaseRead{1, held};
            actions = actions.empty() ? successor.handle(LeaseTick(), now) : successor.handle(answer, now);
            now += milliseconds(100);
        }
        return now - start;
    };
    CHECK(takesOver(false) > seconds(60) && takesOver(false) < seconds(62));
    CHECK(takesOver(true) > seconds(10) && takesOver(true) < seconds(16));
}

// Guards against units that are allocated again while a client may still use them, and against grants that arrive out of order.
TEST(LimitDivisionTest, AllocatorKeepsWhatClientMayUse)
{
    const LimitDivisionSettings settings = settingsForTests();
    const TimePoint now{seconds(100)};
    LimitAllocator allocator(0, 7, settings);
    allocator.handle(limits, now);
    allocator.handle(AllocationAllowed{now + seconds(60)}, now);
    allocator.handle(ClientCountChanged{2}, now);
    const auto sendDemand = [&](int host, std::uint64_t sequence, std::uint64_t term, LimitUnits demand, std::uint64_t adopted) -> std::optional<LimitUnits> {
        const auto actions = allocator.handle(LimitDemandReceived{{nameOf(host), 1, sequence, 0, term, {{key, demand, adopted}}}}, now);
        return actions.empty() ? std::nullopt : std::optional(std::get<SendLimitGrant>(actions[0]).grant.entries.at(0).amount);
    };
    const LimitUnits all = allocatableUnits(limit, settings);
    const LimitUnits first = *sendDemand(1, 10, 7, 1000, 0);
    CHECK(first > all * 9 / 10);
    CHECK_TEXT(!sendDemand(1, 10, 7, 1000, 0), "a duplicate is not answered");
    CHECK(*sendDemand(2, 1, 7, 1'000'000, 0) <= all - first);
    CHECK(*sendDemand(1, 11, 7, 1, 10) < first / 2); // if this grant is lost, the client continues to use its first allocation
    CHECK(*sendDemand(2, 2, 7, 1'000'000, 1) <= all - first);
    CHECK(*sendDemand(1, 12, 6, 1, 11) < first); // the demand refers to another term, so it releases nothing
    CHECK(*sendDemand(2, 3, 7, 1'000'000, 2) <= all - first);
    sendDemand(1, 13, 7, 1, 12);
    CHECK_TEXT(*sendDemand(2, 4, 7, 1'000'000, 3) > all - first, "the first allocation is no longer in use");

    LimitClient client(nameOf(1), 1, settings);
    client.handle(limits, now);
    client.handle(AllocatorsChanged{{{0, nameOf(0)}}}, now);
    client.handle(DemandObserved{key, 1000}, now);
    client.handle(LimitClientTick(), now);
    client.handle(LimitClientTick(), now + seconds(2));
    client.handle(LimitGrantReceived{{nameOf(1), 1, 2, 0, 7, seconds(30), {{key, 100}}}}, now);
    client.handle(LimitGrantReceived{{nameOf(1), 1, 1, 0, 7, seconds(30), {{key, 500}}}}, now);
    LONGS_EQUAL(floorShare(limit, settings) + 100, *client.shareOf(key, now));
    LONGS_EQUAL(floorShare(limit, settings), *client.shareOf(key, now + seconds(32)));
}

// Guards against shares that do not follow demand, and against unequal shares while demand is unknown.
TEST(LimitDivisionTest, SharesFollowDemand)
{
    Fleet fleet;
    fleet.setWanted(0, true);
    for (int host = 0; host < hostCount; ++host) {
        LONGS_EQUAL(floorShare(limit, settingsForTests()), *fleet.at(host).client.shareOf(key, fleet.now));
        fleet.handleClientEvent(host, AllocatorsChanged{{{0, nameOf(0)}}});
    }
    for (int round = 0; round < 100; ++round) {
        fleet.handleClientEvent(1, DemandObserved{key, 900'000});
        fleet.handleClientEvent(2, DemandObserved{key, 300'000});
        fleet.run(seconds(1));
    }
    const LimitUnits large = *fleet.at(1).client.shareOf(key, fleet.now);
    const LimitUnits small = *fleet.at(2).client.shareOf(key, fleet.now);
    const LimitUnits idle = *fleet.at(3).client.shareOf(key, fleet.now);
    CHECK(large > 2 * small - 2 * idle && small > idle);
    CHECK_TEXT(large + small > limit * 8 / 10, "hosts with demand hold most of the limit");
}

// Guards against a dead host's share that stays unused after its allocation expired, or is allocated to others before.
TEST(LimitDivisionTest, DeadHostsShareReturnsAfterItsValidity)
{
    Fleet fleet;
    fleet.setWanted(0, true);
    const auto runWithDemand = [&](std::initializer_list<int> hosts, int time) {
        for (int second = 0; second < time; ++second) {
            for (const int host : hosts) {
                fleet.handleClientEvent(host, AllocatorsChanged{{{0, nameOf(0)}}});
                fleet.handleClientEvent(host, DemandObserved{key, 900'000});
            }
            fleet.run(seconds(1));
        }
    };
    runWithDemand({1, 2}, 100);
    const LimitUnits shared = *fleet.at(2).client.shareOf(key, fleet.now);
    fleet.at(1).running = false;
    runWithDemand({2}, 10);
    CHECK(*fleet.at(2).client.shareOf(key, fleet.now) <= shared);
    runWithDemand({2}, 70);
    CHECK(*fleet.at(2).client.shareOf(key, fleet.now) > limit * 7 / 10);
}

// Guards against hosts that have no share at all during a long store outage.
TEST(LimitDivisionTest, FloorRemainsWithoutStore)
{
    Fleet fleet;
    fleet.setWanted(0, true);
    fleet.handleClientEvent(0, AllocatorsChanged{{{0, nameOf(0)}}});
    fleet.handleClientEvent(0, DemandObserved{key, 900'000});
    fleet.run(seconds(10));
    CHECK(*fleet.at(0).client.shareOf(key, fleet.now) > floorShare(limit, settingsForTests()));
    for (int second = 0; second < 100; ++second) {
        fleet.now += seconds(1);
        fleet.tick();
        while (!fleet.messages.empty()) {
            const bool storeCall = fleet.messages[0].to == hostCount;
            storeCall ? static_cast<void>(fleet.messages.erase(fleet.messages.begin())) : fleet.deliverAt(0, false);
        }
    }
    LONGS_EQUAL(floorShare(limit, settingsForTests()), *fleet.at(0).client.shareOf(key, fleet.now));
}

// Guards against limit division whose traffic, together with the heartbeats, exceeds 6 KB/s per host.
TEST(LimitDivisionTest, TrafficFitsBesideHeartbeats)
{
    const LimitTraffic traffic = estimateLimitTraffic(810, 300, LimitDivisionSettings());
    UT_PRINT((std::to_string(traffic.bytesPerSecond) + " B/s per host, " + std::to_string(traffic.storeWritesPerSecond) + " store writes/s").c_str());
    CHECK(traffic.bytesPerSecond > 0 && traffic.bytesPerSecond + HeartbeatPlanSettings().budget < 6000);
    CHECK(traffic.storeWritesPerSecond < 10);
}
