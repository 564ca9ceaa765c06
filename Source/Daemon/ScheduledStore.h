#pragma once

#include "Base/RandomEngine.h"
#include "Daemon/StoreAccess.h"
#include "Store/KeyValueStore.h"
#include "Telemetry/Metrics.h"

#include <map>

namespace Mangofall {

/**
 * \class ScheduledStore
 * \brief Calls the platform's store within this host's budget of calls; drives StoreCallScheduler on the control thread.
 */
class ScheduledStore : public StoreAccess
{
public:
    using Clock = std::function<TimePoint()>;

    /// All references must outlive the store.
    ScheduledStore(KeyValueStore &store, Metrics &metrics, RandomEngine &random, Clock clock = std::chrono::steady_clock::now);

    void read(const std::string &key, StorePriority priority, ReadHandler handler) override;
    void compareAndSwap(const std::string &key, std::string value, std::uint64_t expectedVersion, StorePriority priority, WriteHandler handler) override;
    void watch(const std::string &key, std::uint64_t afterVersion, ReadHandler handler) override;

    /// Periodic, every 100 ms.
    void tick(TimePoint now);

private:
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
    std::multimap<TimePoint, std::function<void()>> m_failedWatches; ///< Handlers by the time at which they are told.
    std::map<ScheduledCallId, Call> m_calls;
    ScheduledCallId m_lastCall = 0;
};

}
