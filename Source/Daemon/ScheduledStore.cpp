#include "Daemon/ScheduledStore.h"

namespace Mangofall {

namespace {

constexpr std::chrono::milliseconds callTimeout{1000};
// Waiting for the budget and the call itself; callers give up or ask again after that.
constexpr std::chrono::milliseconds queueTimeout{2000};
constexpr std::chrono::seconds watchTimeout{30};
constexpr std::chrono::milliseconds watchRetryDelay{500};
constexpr std::chrono::milliseconds watchRetryJitter{1500};

const char *nameOf(StoreReadStatus status)
{
    return status == StoreReadStatus::Failed ? "failed" : "answered";
}

const char *nameOf(StoreWriteStatus status)
{
    switch (status) {
    case StoreWriteStatus::Applied:
        return "applied";
    case StoreWriteStatus::Conflict:
        return "conflict";
    case StoreWriteStatus::NotApplied:
        return "not_applied";
    case StoreWriteStatus::Unknown:
        break;
    }
    return "unknown";
}

}

ScheduledStore::ScheduledStore(KeyValueStore &store, Metrics &metrics, RandomEngine &random, Clock clock)
    : m_store(store)
    , m_metrics(metrics)
    , m_random(random)
    , m_clock(std::move(clock))
    , m_scheduler(StoreSchedulerLimits{}, random)
{
}

void ScheduledStore::read(const std::string &key, StorePriority priority, ReadHandler handler)
{
    const ScheduledCallId id = ++m_lastCall;
    const auto done = [this, id, handler](const StoreReadDone &result) {
        m_metrics.storeCalls("read", nameOf(result.status)).Increment();
        recordCallEnd(id, result.status != StoreReadStatus::Failed);
        handler(result);
    };
    const auto start = [this, key, done] {
        m_store.get(key, callTimeout, done);
    };
    const auto refuse = [key, handler] {
        StoreReadDone result;
        result.key = key;
        result.status = StoreReadStatus::Failed;
        handler(result);
    };
    submit(priority, {start, refuse});
}

void ScheduledStore::compareAndSwap(const std::string &key, std::string value, std::uint64_t expectedVersion, StorePriority priority, WriteHandler handler)
{
    const ScheduledCallId id = ++m_lastCall;
    const auto done = [this, id, handler](const StoreWriteDone &result) {
        m_metrics.storeCalls("write", nameOf(result.status)).Increment();
        recordCallEnd(id, result.status == StoreWriteStatus::Applied || result.status == StoreWriteStatus::Conflict);
        handler(result);
    };
    const auto start = [this, key, value = std::move(value), expectedVersion, done] {
        m_store.compareAndSwap(key, value, expectedVersion, callTimeout, done);
    };
    const auto refuse = [key, handler] {
        StoreWriteDone result;
        result.key = key;
        result.status = StoreWriteStatus::NotApplied;
        handler(result);
    };
    submit(priority, {start, refuse});
}

void ScheduledStore::watch(const std::string &key, std::uint64_t afterVersion, ReadHandler handler)
{
    // Not through the scheduler: as the probe that ends an outage, a waiting watch kept all other calls back for 30 s.
    m_store.watch(key, afterVersion, watchTimeout, [this, handler](const StoreReadDone &result) {
        m_metrics.storeCalls("watch", nameOf(result.status)).Increment();
        if (result.status != StoreReadStatus::Failed) {
            handler(result);
            return;
        }
        const auto jitter = std::chrono::milliseconds(m_random(static_cast<std::uint32_t>(watchRetryJitter.count())));
        m_failedWatches.emplace(m_clock() + watchRetryDelay + jitter, [handler, result] {
            handler(result);
        });
    });
}

void ScheduledStore::tick(TimePoint now)
{
    while (!m_failedWatches.empty() && m_failedWatches.begin()->first <= now) {
        const auto due = m_failedWatches.extract(m_failedWatches.begin());
        due.mapped()();
    }
    process(m_scheduler.tick(now));
}

void ScheduledStore::submit(StorePriority priority, Call call)
{
    const TimePoint now = m_clock();
    const ScheduledCallId id = m_lastCall;
    m_calls[id] = std::move(call);
    process(m_scheduler.submit(id, priority, now + queueTimeout, now));
}

void ScheduledStore::process(const StoreSchedulerActions &actions)
{
    for (const StoreSchedulerAction &action : actions) {
        if (const auto *start = std::get_if<StartStoreCall>(&action)) {
            const auto call = m_calls.extract(start->id);
            call.mapped().start();
        } else if (const auto *refusal = std::get_if<RefuseStoreCall>(&action)) {
            const auto call = m_calls.extract(refusal->id);
            call.mapped().refuse();
        }
    }
}

void ScheduledStore::recordCallEnd(ScheduledCallId id, bool answered)
{
    process(m_scheduler.recordCallEnd(id, answered, m_clock()));
}

}
