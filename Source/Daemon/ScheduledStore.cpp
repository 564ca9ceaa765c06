#include "Daemon/ScheduledStore.h"

namespace Mangofall {

namespace {

constexpr std::chrono::milliseconds callTimeout{1000};
// Bound on the wait for the budget and the call itself; after it, the call is refused and its caller gives up or tries again.
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
    // Watches bypass the scheduler: during an outage it starts a single call as a probe, and a watch in that role blocked all other calls for 30 s.
    m_store.watch(key, afterVersion, watchTimeout, [this, handler](const StoreReadDone &result) {
        m_metrics.storeCalls("watch", nameOf(result.status)).Increment();
        if (result.status != StoreReadStatus::Failed) {
            handler(result);
            return;
        }
        const auto jitter = std::chrono::milliseconds(m_random(static_cast<std::uint32_t>(watchRetryJitter.count())));
        m_delayedWatchFailures.emplace(m_clock() + watchRetryDelay + jitter, [handler, result] {
            handler(result);
        });
    });
}

void ScheduledStore::tick(TimePoint now)
{
    while (!m_delayedWatchFailures.empty() && m_delayedWatchFailures.begin()->first <= now) {
        const auto due = m_delayedWatchFailures.extract(m_delayedWatchFailures.begin());
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
