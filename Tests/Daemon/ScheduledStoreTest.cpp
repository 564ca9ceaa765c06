#include "Daemon/ScheduledStore.h"
#include "Store/FakeKeyValueStore.h"

#include "Property.h"

using namespace Mangofall;

TEST_GROUP(ScheduledStoreTest){};

// Guards against a watch that is used as the probe call of the scheduler and so blocks all other calls after an outage.
TEST(ScheduledStoreTest, CallsGoOnAfterAnOutageWhileAWatchWaits)
{
    Testing::checkProperty("a read is answered after an outage while a watch waits", [](std::uint64_t seed) {
        Testing::FakeKeyValueStore fake;
        Metrics metrics;
        RandomEngine random(seed);
        TimePoint now{};
        ScheduledStore store(fake, metrics, random, [&now] {
            return now;
        });
        int watchEnds = 0;
        std::function<void(const StoreReadDone &)> watchAgain = [&](const StoreReadDone &) {
            ++watchEnds;
            store.watch("key", 0, watchAgain);
        };
        const auto advance = [&](std::chrono::milliseconds duration) {
            now += duration;
            store.tick(now);
            fake.completeAllCalls();
        };
        fake.setOutage(true);
        store.watch("key", 0, watchAgain);
        store.read("key", StorePriority::Configuration, [](const StoreReadDone &) {});
        advance(std::chrono::milliseconds(100));
        fake.setOutage(false);
        // 12 s is longer than the maximum backoff of 10 s and the maximum retry delay of a watch of 2 s; the watch then waits for a change that never comes.
        for (int tick = 0; tick < 120; ++tick) {
            advance(std::chrono::milliseconds(100));
        }
        RC_ASSERT(watchEnds >= 1);
        bool answered = false;
        store.read("key", StorePriority::Orders, [&answered](const StoreReadDone &done) {
            answered = done.status == StoreReadStatus::Missing;
        });
        for (int tick = 0; tick < 20; ++tick) {
            advance(std::chrono::milliseconds(100));
        }
        RC_ASSERT(answered);
    });
}
