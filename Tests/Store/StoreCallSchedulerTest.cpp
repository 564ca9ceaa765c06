#include "Property.h"

#include "Store/StoreCallScheduler.h"

#include <algorithm>
#include <map>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

std::vector<ScheduledCallId> starts(const StoreSchedulerActions &actions)
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

// Guards against a host that exceeds its share of the store's rate, and a call that is started twice, lost or both started and refused.
TEST(StoreCallSchedulerTest, StaysWithinTheBudgetAndEndsEachCallOnce)
{
    Testing::checkProperty("starts stay within rate and burst", [] {
        RandomEngine random(1);
        const StoreSchedulerLimits limits{static_cast<double>(*rc::gen::inRange(1, 200)), static_cast<double>(*rc::gen::inRange(1, 20)), 30, 200ms, 10s};
        StoreCallScheduler scheduler(limits, random);
        TimePoint now;
        std::vector<TimePoint> startTimes;
        std::map<ScheduledCallId, int> ends;
        std::vector<ScheduledCallId> running;
        const auto take = [&](const StoreSchedulerActions &actions) {
            for (const StoreSchedulerAction &action : actions) {
                std::visit(
                    [&](const auto &typed) {
                        ++ends[typed.id];
                    },
                    action);
            }
            for (const ScheduledCallId id : starts(actions)) {
                startTimes.push_back(now);
                running.push_back(id);
            }
        };
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            take(scheduler.submit(static_cast<ScheduledCallId>(step), static_cast<StorePriority>(*rc::gen::inRange(0, 4)), now + 3s, now));
            if (!running.empty() && *rc::gen::arbitrary<bool>()) {
                const ScheduledCallId id = running.back();
                running.pop_back();
                take(scheduler.recordCallEnd(id, *rc::gen::inRange(0, 5) > 0, now));
            }
        }
        while (scheduler.waiting() > 0) {
            const TimePoint wake = scheduler.nextWake().value();
            RC_ASSERT(wake <= now + 20s);
            now = std::max(now + 1ns, wake);
            take(scheduler.tick(now));
        }
        RC_ASSERT(static_cast<int>(ends.size()) == steps);
        RC_ASSERT(std::ranges::all_of(ends, [](const auto &entry) {
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

// Guards against a class that never starts while more urgent calls keep coming, and against urgent calls that lose more than their share.
TEST(StoreCallSchedulerTest, StarvesNoClassAndPrefersUrgentOnes)
{
    RandomEngine random(1);
    StoreCallScheduler scheduler({100, 1, 1000, 200ms, 10s}, random);
    TimePoint now;
    std::array<int, storePriorityCount> started{};
    ScheduledCallId next = 0;
    for (int step = 0; step < 8000; ++step) {
        now += 10ms;
        for (std::size_t index = 0; index < storePriorityCount; ++index) {
            // The class is kept in the id's last digit.
            for (const ScheduledCallId id : starts(scheduler.submit(next++ * 10 + index, static_cast<StorePriority>(index), now + 1s, now))) {
                ++started[id % 10];
            }
        }
    }
    CHECK(started[0] >= 6900);
    for (std::size_t index = 1; index < storePriorityCount; ++index) {
        CHECK(started[index] >= 250);
    }
}

// Guards against hosts that all call together when the store returns, and against more than one probe per host during an outage.
TEST(StoreCallSchedulerTest, ReturningHostsDoNotCallTogether)
{
    constexpr int hosts = 400;
    constexpr Duration window = 1s;
    RandomEngine random(20261204);
    std::map<Duration::rep, int> probes;
    for (int host = 0; host < hosts; ++host) {
        StoreCallScheduler scheduler({50, 10, 1000, 200ms, 10s}, random);
        TimePoint now;
        for (ScheduledCallId id = 0; id < 20; ++id) {
            scheduler.submit(id, StorePriority::Orders, TimePoint::max(), now);
        }
        // Six failures: five doublings of 200 ms give a backoff of up to 6.4 s.
        ScheduledCallId probe = 0;
        for (int failure = 0; failure < 6; ++failure) {
            scheduler.recordCallEnd(probe, false, now);
            CHECK_TRUE(scheduler.outage());
            now = scheduler.nextWake().value();
            const std::vector<ScheduledCallId> started = starts(scheduler.tick(now));
            LONGS_EQUAL(1, started.size());
            probe = started.front();
            now = failure == 5 ? now : TimePoint() + 30s * (failure + 1);
        }
        ++probes[(now - (TimePoint() + 30s * 5)) / window];
        CHECK_TRUE(starts(scheduler.recordCallEnd(probe, true, now)).empty());
        CHECK_FALSE(scheduler.outage());
    }
    for (const auto &[second, count] : probes) {
        CHECK(count < hosts / 4);
    }
}
