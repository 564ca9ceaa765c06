#pragma once

#include "Base/RandomEngine.h"
#include "Daemon/StoreAccess.h"
#include "Store/KeyValueStore.h"
#include "Telemetry/Metrics.h"

#include <map>

namespace Mangofall {

/**
 * \class ScheduledStore
 * \brief Calls the platform's store within this host's budget of calls, using a StoreCallScheduler on the control thread.
 */
class ScheduledStore : public StoreAccess
{
public:
    using Clock = std::function<TimePoint()>;

    /// All referenced objects must outlive the store.
    ScheduledStore(KeyValueStore &store, Metrics &metrics, RandomEngine &random, Clock clock = std::chrono::steady_clock::now);

    void read(const std::string &key, StorePriority priority, ReadHandler handler) override;
    void compareAndSwap(const std::string &key, std::string value, std::uint64_t expectedVersion, StorePriority priority, WriteHandler handler) override;
    void watch(const std::string &key, std::uint64_t afterVersion, ReadHandler handler) override;

    /// Must be called every 100 ms.
    void tick(TimePoint now);

private:
    /// A call that waits for the scheduler; exactly one of the two functions is called.
    struct Call {
        std::function<void()> start;
        std::function<void()> refuse;
    };

    void submit(StorePriority priority, Call call);
    void process(const StoreSchedulerActions &actions);
    void recordCallEnd(ScheduledCallId id, bool answered);

    KeyValueStore &m_store;
    Metrics &m_metrics;
    RandomEngine &m_random;
    Clock m_clock;
    StoreCallScheduler m_scheduler;
    std::multimap<TimePoint, std::function<void()>> m_delayedWatchFailures; ///< Handlers of failed watches, by the time at which they are called.
    std::map<ScheduledCallId, Call> m_calls;
    ScheduledCallId m_lastCall = 0;
};

}
