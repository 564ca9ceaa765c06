#include "Property.h"

#include "Store/StoreCallScheduler.h"

#include <algorithm>
#include <map>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

std::vector<ScheduledCallId> startedIds(const StoreSchedulerActions &actions)
{
    std::vector<ScheduledCallId> ids;
    for (const StoreSchedulerAction &action : actions) {
        if (const auto *start = std::get_if<StartStoreCall>(&action)) {
            ids.push_back(start->id);
        }
    }
    return ids;
}

}

TEST_GROUP(StoreCallSchedulerTest){};

// Guards against a host that exceeds its share of the store's call rate, and against a call that is started twice, lost, or both started and refused.
TEST(StoreCallSchedulerTest, StaysWithinTheBudgetAndEndsEachCallOnce)
{
    Testing::checkProperty("call starts stay within the rate and burst limits and each call ends once", [] {
        RandomEngine random(1);
        const StoreSchedulerLimits limits{static_cast<double>(*rc::gen::inRange(1, 200)), static_cast<double>(*rc::gen::inRange(1, 20)), 30, 200ms, 10s};
        StoreCallScheduler scheduler(limits, random);
        TimePoint now;
        std::vector<TimePoint> startTimes;
        std::map<ScheduledCallId, int> endCounts;
        std::vector<ScheduledCallId> runningIds;
        const auto recordActions = [&](const StoreSchedulerActions &actions) {
            for (const StoreSchedulerAction &action : actions) {
                std::visit(
                    [&](const auto &typedAction) {
                        ++endCounts[typedAction.id];
                    },
                    action);
            }
            for (const ScheduledCallId id : startedIds(actions)) {
                startTimes.push_back(now);
                runningIds.push_back(id);
            }
        };
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            recordActions(scheduler.submit(static_cast<ScheduledCallId>(step), static_cast<StorePriority>(*rc::gen::inRange(0, 4)), now + 3s, now));
            if (!runningIds.empty() && *rc::gen::arbitrary<bool>()) {
                const ScheduledCallId id = runningIds.back();
                runningIds.pop_back();
                recordActions(scheduler.recordCallEnd(id, *rc::gen::inRange(0, 5) > 0, now));
            }
        }
        while (scheduler.waitingCallCount() > 0) {
            const TimePoint nextTime = scheduler.nextTickTime().value();
            RC_ASSERT(nextTime <= now + 20s);
            now = std::max(now + 1ns, nextTime);
            recordActions(scheduler.tick(now));
        }
        RC_ASSERT(static_cast<int>(endCounts.size()) == steps);
        RC_ASSERT(std::ranges::all_of(endCounts, [](const auto &entry) {
            return entry.second == 1;
        }));
        for (std::size_t first = 0; first < startTimes.size(); ++first) {
            for (std::size_t last = first; last < startTimes.size(); ++last) {
                const double allowed = limits.burst + Seconds(startTimes[last] - startTimes[first]).count() * limits.callsPerSecond;
                RC_ASSERT(static_cast<double>(last - first + 1) <= allowed + 1e-6);
            }
        }
    });
}

// Guards against a priority whose calls never start while calls of a higher priority keep arriving, and against taking more than one start in eight
// from the highest priority.
TEST(StoreCallSchedulerTest, StarvesNoPriorityAndPrefersUrgentOnes)
{
    RandomEngine random(1);
    StoreCallScheduler scheduler({100, 1, 1000, 200ms, 10s}, random);
    TimePoint now;
    std::array<int, storePriorityCount> startCounts{};
    ScheduledCallId nextId = 0;
    for (int step = 0; step < 8000; ++step) {
        now += 10ms;
        for (std::size_t priority = 0; priority < storePriorityCount; ++priority) {
            // The last digit of the id is the priority.
            for (const ScheduledCallId id : startedIds(scheduler.submit(nextId++ * 10 + priority, static_cast<StorePriority>(priority), now + 1s, now))) {
                ++startCounts[id % 10];
            }
        }
    }
    CHECK(startCounts[0] >= 6900);
    for (std::size_t priority = 1; priority < storePriorityCount; ++priority) {
        CHECK(startCounts[priority] >= 250);
    }
}

// Guards against hosts that all call at the same time when the store becomes available again, and against more than one probe in flight per host
// during an outage.
TEST(StoreCallSchedulerTest, ReturningHostsDoNotCallTogether)
{
    constexpr int hosts = 400;
    constexpr Duration window = 1s;
    RandomEngine random(20261204);
    std::map<Duration::rep, int> probesPerWindow;
    for (int host = 0; host < hosts; ++host) {
        StoreCallScheduler scheduler({50, 10, 1000, 200ms, 10s}, random);
        TimePoint now;
        for (ScheduledCallId id = 0; id < 20; ++id) {
            scheduler.submit(id, StorePriority::Orders, TimePoint::max(), now);
        }
        // Six failures: five doublings of 200 ms give a backoff of up to 6.4 s.
        ScheduledCallId probeId = 0;
        for (int failure = 0; failure < 6; ++failure) {
            scheduler.recordCallEnd(probeId, false, now);
            CHECK_TRUE(scheduler.inOutage());
            now = scheduler.nextTickTime().value();
            const std::vector<ScheduledCallId> startedCalls = startedIds(scheduler.tick(now));
            LONGS_EQUAL(1, startedCalls.size());
            probeId = startedCalls.front();
            now = failure == 5 ? now : TimePoint() + 30s * (failure + 1);
        }
        ++probesPerWindow[(now - (TimePoint() + 30s * 5)) / window];
        CHECK_TRUE(startedIds(scheduler.recordCallEnd(probeId, true, now)).empty());
        CHECK_FALSE(scheduler.inOutage());
    }
    for (const auto &[windowIndex, count] : probesPerWindow) {
        CHECK(count < hosts / 4);
    }
}
