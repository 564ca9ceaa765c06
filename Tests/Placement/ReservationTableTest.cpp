#include "Placement/ReservationTable.h"

#include "Placement/EngineCost.h"
#include "Placement/EngineRules.h"
#include "Placement/EngineSelector.h"
#include "Placement/PlacementTable.h"
#include "Placement/UpstreamLoad.h"
#include "PlacementFixtures.h"
#include "Property.h"

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

constexpr std::uint64_t largeTokens = 500'000; // Exceeds the 405,000 tokens of one engine.

PlacementRequest largePrompt(std::uint64_t number, TimePoint now, std::uint64_t tokens = largeTokens)
{
    PlacementRequest request = placementRequest(number, tokens, milliseconds(3000), milliseconds(1000), now);
    request.deadline = now + milliseconds(15'000);
    return request;
}

/// Engines with requests in decode, and the table that reserves them.
struct Fleet {
    TimePoint now{std::chrono::hours(1)};
    std::list<UpstreamLoad> loads;
    ReservationTable::Upstreams upstreams;
    ReservationLimits limits;
    ReservationTable table;

    explicit Fleet(int size, const ReservationLimits &reservationLimits = {})
        : limits(reservationLimits)
        , table(engineSpec(), reservationLimits)
    {
        for (int index = 0; index < size; ++index) {
            loads.emplace_back(upstream("e" + std::to_string(index), engines), 0);
            upstreams.push_back(&loads.back());
        }
        table.setUpstreams(upstreams);
    }

    /// Puts a short answer on the engine, which takes about 1.4 s.
    void decode(std::size_t engine, std::uint64_t number)
    {
        const PlacementRequest request = shortPrompt(number, now);
        upstreams[engine]->add(request.id, GrantLoad{false, true, 5'000, 6'000, request.pauseLimit, milliseconds(30), {}, 1000}, now);
        upstreams[engine]->prefillDone(request.id, now);
    }

    /// Stores \p tokens of another engine's prompt on the engine.
    void storeHere(std::size_t engine, std::uint64_t number, std::uint64_t tokens)
    {
        GrantLoad grant{true, false, 500'000, tokens, milliseconds(1000), milliseconds(500), {}, 10'000};
        upstreams[engine]->add({HostId("entry"), number}, grant, now);
        upstreams[engine]->prefillDone({HostId("entry"), number}, now);
    }

    void plan(const std::vector<PlacementRequest> &requests)
    {
        ReservationTable::Requests waiting;
        for (const PlacementRequest &request : requests) {
            waiting.push_back(&request);
        }
        table.plan(waiting, now);
    }
};

/// Limits that let reservations take all engines, for tests of other rules.
ReservationLimits unbounded()
{
    ReservationLimits limits;
    limits.engineShare = 1;
    limits.lateShare = 1;
    limits.longestLead = milliseconds(10'000);
    return limits;
}

const ReservationDropped *droppedOf(const ReservationEvents &events)
{
    for (const ReservationEvent &event : events) {
        if (const auto *dropped = std::get_if<ReservationDropped>(&event)) {
            return dropped;
        }
    }
    return nullptr;
}

}

TEST_GROUP(ReservationTableTest){};

// Guards against reservations of a part of the engines that a prompt needs, against two reservations of one engine at the same time, and against
// reservations that take the fleet from short prompts.
TEST(ReservationTableTest, ReservationsAreWholeDisjointAndBounded)
{
    Mangofall::Testing::checkProperty("reservations are whole, disjoint in time and bounded", [] {
        ReservationLimits limits = unbounded();
        limits.engineShare = *rc::gen::inRange(20, 101) / 100.0;
        limits.lateShare = limits.engineShare / 2;
        Fleet fleet(*rc::gen::inRange(4, 61), limits);
        for (std::size_t engine = 0; engine < fleet.upstreams.size(); ++engine) {
            fleet.storeHere(engine, 9'000 + engine, *rc::gen::inRange<std::uint64_t>(1, 390'000));
            for (int answers = *rc::gen::inRange(0, 3); answers > 0; --answers) {
                fleet.decode(engine, 1000 + engine * 10 + static_cast<std::uint64_t>(answers));
            }
        }
        std::vector<PlacementRequest> requests;
        for (std::uint64_t number = 1; number <= 6; ++number) {
            requests.push_back(largePrompt(number, fleet.now, *rc::gen::inRange<std::uint64_t>(410'000, 900'000)));
        }
        for (int round = 0; round < 5; ++round) {
            fleet.plan(requests);
            std::map<const UpstreamLoad *, std::vector<std::pair<TimePoint, TimePoint>>> uses;
            for (const PlacementRequest &request : requests) {
                const Reservation *reservation = fleet.table.find(request.id);
                if (reservation == nullptr) {
                    continue;
                }
                const ReservationPlan &plan = reservation->plan;
                std::uint64_t memory = 0;
                for (std::size_t index = 0; index < reservation->engines.size(); ++index) {
                    memory += plan.engines[index].memoryTokens;
                    RC_ASSERT(plan.engines[index].memoryTokens <= usableMemory(engineSpec()));
                    uses[reservation->engines[index]].emplace_back(plan.start, plan.start + plan.partPrefill);
                }
                RC_ASSERT(memory == request.promptTokens + request.outputTokens);
                RC_ASSERT(plan.engines.size() <= maxPromptParts);
            }
            for (auto &[engine, times] : uses) {
                std::sort(times.begin(), times.end());
                for (std::size_t index = 1; index < times.size(); ++index) {
                    RC_ASSERT(times[index].first >= times[index - 1].second);
                }
            }
            RC_ASSERT(static_cast<double>(uses.size()) <= fleet.limits.engineShare * static_cast<double>(fleet.upstreams.size()));
            fleet.now += milliseconds(*rc::gen::inRange(20, 2'000));
        }
    });
}

// Guards against work on a reserved engine that delays the start: a short prompt whose answer ends before the start is placed, one that would last longer
// is not.
TEST(ReservationTableTest, BackfillEndsBeforeTheStart)
{
    Mangofall::Testing::checkProperty("backfill ends before the start", [] {
        Fleet fleet(1);
        const EngineSelector selector(engineSpec(), true);
        const Duration untilStart = milliseconds(*rc::gen::inRange(0, 4'000));
        const Duration partPrefill = milliseconds(*rc::gen::inRange(250, 2'000));
        fleet.upstreams.front()->setHold(EngineHold{{HostId("entry"), 99}, fleet.now + untilStart, partPrefill, 100'000});
        PlacementRequest request = shortPrompt(1, fleet.now);
        request.outputTokens = *rc::gen::inRange<std::uint64_t>(64, 3'000);
        const auto selection = selector.select(request, fleet.upstreams, fleet.now);
        const Duration iteration = iterationTime(engineSpec(), 1, 0);
        const Duration end = prefillTime(engineSpec(), request.promptTokens, 1) + answerTime(engineSpec(), request.outputTokens, iteration);
        RC_ASSERT(!selection || end <= untilStart);
        const Duration margin = milliseconds(100);
        RC_ASSERT(selection || end + margin > untilStart);
    });
}

// Guards against a reserved engine that is refused to the prompt that it is reserved for.
TEST(ReservationTableTest, TheOwnerOfAHoldMayStartOnIt)
{
    Fleet fleet(20, unbounded());
    const PlacementRequest request = largePrompt(1, fleet.now);
    fleet.plan({request});
    const Reservation *reservation = fleet.table.find(request.id);
    CHECK(reservation != nullptr);
    const EngineSelector selector(engineSpec(), true);
    CHECK(selector.selectReserved(request, reservation->engines, milliseconds(3000), fleet.now).has_value());
    CHECK(!selector.selectReserved(largePrompt(2, fleet.now), reservation->engines, milliseconds(3000), fleet.now).has_value());
}

// Guards against a start at the time when the first engines are free instead of the last: the plan waits for the short answers in decode.
TEST(ReservationTableTest, ThePlanWaitsForAnswersWithShortPauses)
{
    Fleet fleet(20, unbounded());
    for (std::size_t engine = 0; engine < 20; ++engine) {
        fleet.decode(engine, 100 + engine);
    }
    PlacementRequest request = largePrompt(1, fleet.now);
    request.target = milliseconds(8'000);
    fleet.plan({request});
    const Reservation *reservation = fleet.table.find(request.id);
    CHECK(reservation != nullptr);
    CHECK(reservation->plan.start >= fleet.now + milliseconds(1000));
    CHECK(reservation->engines.front()->hold().has_value());
}

// Guards against reservations that outlive an engine, and holds that outlive a reservation.
TEST(ReservationTableTest, AReservationIsGivenUpWhenAnEngineLeavesOrFails)
{
    Fleet fleet(24, unbounded());
    const PlacementRequest request = largePrompt(1, fleet.now);
    fleet.plan({request});
    UpstreamLoad *lost = fleet.table.find(request.id)->engines.front();
    fleet.table.takeEvents();
    ReservationTable::Upstreams left = fleet.upstreams;
    std::erase(left, lost);
    fleet.table.setUpstreams(left);
    const ReservationEvents events = fleet.table.takeEvents();
    const ReservationDropped *dropped = droppedOf(events);
    CHECK(dropped != nullptr);
    CHECK(dropped->cause == ReservationDropCause::EngineLeft);
    CHECK(fleet.table.find(request.id) == nullptr);
    for (const UpstreamLoad *engine : left) {
        CHECK(!engine->hold().has_value());
    }
    fleet.now += milliseconds(20);
    fleet.plan({request});
    UpstreamLoad *failed = fleet.table.find(request.id)->engines.front();
    for (int failures = 0; failures < 10; ++failures) {
        failed->failures().record(GrantOutcome::Unreachable, fleet.now);
    }
    fleet.table.takeEvents();
    fleet.now += milliseconds(20);
    fleet.plan({request});
    const ReservationEvents afterFailure = fleet.table.takeEvents();
    CHECK(droppedOf(afterFailure) != nullptr);
    CHECK(droppedOf(afterFailure)->cause == ReservationDropCause::EngineUnavailable);
}

// Guards against engines that stay reserved for a request that was withdrawn.
TEST(ReservationTableTest, AWithdrawnRequestFreesItsEngines)
{
    Fleet fleet(24, unbounded());
    fleet.plan({largePrompt(1, fleet.now)});
    CHECK_EQUAL(1, fleet.table.counts().reservations);
    fleet.now += milliseconds(20);
    fleet.plan({});
    CHECK_EQUAL(0, fleet.table.counts().reservations);
    CHECK_EQUAL(0, fleet.table.counts().engines);
}

// Guards against the starvation of the largest prompt behind later, smaller ones when it is too late for its target.
TEST(ReservationTableTest, TheLargestLatePromptIsReservedBeforeLaterOnes)
{
    Fleet fleet(60);
    const TimePoint arrival = fleet.now;
    for (std::size_t engine = 0; engine < 60; ++engine) {
        fleet.decode(engine, 100 + engine);
    }
    std::vector<PlacementRequest> requests{largePrompt(1, arrival, 600'000)};
    fleet.now += milliseconds(3'100);
    for (std::uint64_t number = 2; number <= 8; ++number) {
        requests.push_back(largePrompt(number, arrival + milliseconds(10), 420'000));
    }
    fleet.plan(requests);
    CHECK(fleet.table.find(requests.front().id) != nullptr);
}

// Guards against refusals of prompts that other engines than the reserved ones could serve, and against prompts that wait although no plan can help them.
TEST(ReservationTableTest, OnlyWhatNoPlanCanAnswerIsTooLate)
{
    Fleet fleet(20);
    PlacementRequest hopeless = largePrompt(1, fleet.now);
    hopeless.deadline = fleet.now + milliseconds(500);
    const PlacementRequest possible = largePrompt(2, fleet.now);
    fleet.plan({hopeless, possible});
    CHECK(fleet.table.tooLateStart(hopeless.id).has_value());
    CHECK(!fleet.table.tooLateStart(possible.id).has_value());
}

namespace {

/// Whether a prompt beyond one engine is granted within 100 ms while another long prompt is in prefill, so that the mean backlog is about 97 ms.
bool startsBesideOtherWork(bool advanceReservation)
{
    CrashRecord crashes;
    PlacementTable table(PlacementLimits(), crashes);
    TimePoint now{std::chrono::hours(1)};
    table.setServices({{engines, 0, engineSpec(), {}, advanceReservation}});
    std::vector<UpstreamEntry> entries;
    entries.reserve(40);
    for (int index = 0; index < 40; ++index) {
        entries.push_back(upstream("e" + std::to_string(index), engines));
    }
    table.setUpstreams(entries, now);
    table.submit(longPrompt(100, now), now);
    table.submit(largePrompt(1, now, 410'000), now);
    for (int round = 0; round < 5; ++round) {
        now += milliseconds(20);
        for (const PlacementAction &action : table.tick(now)) {
            const auto *grant = std::get_if<Grant>(&action);
            if (grant != nullptr && grant->id.number == 1) {
                return true;
            }
        }
    }
    return false;
}

}

// Guards against a large prompt that waits until all engines are nearly idle although enough of them are free, and against another behaviour without the
// setting.
TEST(ReservationTableTest, ALargePromptNeedNotWaitForALowLoad)
{
    CHECK(startsBesideOtherWork(true));
    CHECK(!startsBesideOtherWork(false));
}

// Guards against orders of arrivals, ends and losses of engines in which a request gets no answer or two, an engine more memory than it has, or a hold
// outlasts the requests.
TEST(ReservationTableTest, EveryRequestIsAnsweredOnceAndMemoryIsKept)
{
    Mangofall::Testing::checkProperty("requests with reservations are answered once", [] {
        const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(200, rc::gen::arbitrary<std::uint8_t>());
        CrashRecord crashes;
        PlacementTable table(PlacementLimits(), crashes);
        TimePoint now{std::chrono::hours(1)};
        table.setServices({{engines, 0, engineSpec(), {}, true}});
        std::vector<UpstreamEntry> entries;
        entries.reserve(48);
        for (int index = 0; index < 48; ++index) {
            entries.push_back(upstream("e" + std::to_string(index), engines));
        }
        std::uint64_t number = 0;
        std::set<std::uint64_t> answered;
        std::set<std::uint64_t> running;
        const auto take = [&](const PlacementActions &actions) {
            for (const PlacementAction &action : actions) {
                const auto *grant = std::get_if<Grant>(&action);
                const std::uint64_t id = grant != nullptr ? grant->id.number : std::get<Refusal>(action).id.number;
                RC_ASSERT(answered.insert(id).second);
                if (grant != nullptr) {
                    running.insert(id);
                }
            }
            for (const UpstreamEntry &entry : entries) {
                RC_ASSERT(table.load(entry.id)->memoryTokens() <= usableMemory(engineSpec()));
            }
        };
        take(table.setUpstreams(entries, now));
        for (const std::uint8_t step : steps) {
            now += milliseconds(step);
            if (step % 8 == 0 && !running.empty()) {
                const std::uint64_t ended = *running.begin();
                running.erase(ended);
                take(table.ended({HostId("entry"), ended}, GrantOutcome::Completed, std::nullopt, now));
            } else if (step % 8 == 1 && !running.empty()) {
                table.firstEventReceived({HostId("entry"), *running.rbegin()}, now);
            } else if (step % 32 == 2 && entries.size() > 40) {
                entries.erase(entries.begin() + step % 40);
                take(table.setUpstreams(entries, now));
            } else if (step % 8 < 5) {
                take(table.submit(largePrompt(++number, now, 410'000 + std::uint64_t{step} * 2'000), now));
            } else {
                take(table.submit(step % 2 == 0 ? longPrompt(++number, now) : shortPrompt(++number, now), now));
            }
            take(table.tick(now));
        }
        now += milliseconds(60'000);
        take(table.tick(now));
        take(table.tick(now + milliseconds(20)));
        RC_ASSERT(answered.size() == number);
        RC_ASSERT(table.reservationCounts().reservations == 0U);
        for (const UpstreamEntry &entry : entries) {
            RC_ASSERT(!table.load(entry.id)->hold());
        }
    });
}
