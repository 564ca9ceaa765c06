#include "Store/FakeKeyValueStore.h"

#include <utility>

namespace Mangofall::Testing {

using StandIns::StorePutStatus;
using StandIns::StoreState;

StoreReadDone FakeKeyValueStore::read(const std::string &key) const
{
    const StoreState::Value *value = m_state.find(key);
    if (m_outage) {
        return {key, StoreReadStatus::Failed, {}, 0};
    }
    return value == nullptr ? StoreReadDone{key, StoreReadStatus::Missing, {}, 0} : StoreReadDone{key, StoreReadStatus::Found, value->bytes, value->version};
}

void FakeKeyValueStore::get(const std::string &key, Duration, ReadHandler handler)
{
    m_calls.emplace_back([this, key, handler = std::move(handler)] {
        m_state.admitCall(StandIns::StoreCallKind::Get, m_now);
        handler(read(key));
    });
}

void FakeKeyValueStore::compareAndSwap(
    const std::string &key, std::string value, std::uint64_t expectedVersion, Duration, WriteHandler handler, const std::string &lease)
{
    m_calls.emplace_back([this, key, value = std::move(value), expectedVersion, handler = std::move(handler), lease] {
        m_state.admitCall(StandIns::StoreCallKind::Put, m_now);
        StoreWriteDone done{key, StoreWriteStatus::Unknown, 0};
        if (!m_outage) {
            const StoreState::PutResult result = m_state.put(key, value, expectedVersion, lease.empty() ? 0 : std::stoull(lease));
            const bool answered = m_writeAnswersToLose == 0;
            m_writeAnswersToLose -= answered ? 0 : 1;
            if (answered) {
                done.version = result.version;
                done.status = result.status == StorePutStatus::Applied ? StoreWriteStatus::Applied
                    : result.status == StorePutStatus::Conflict        ? StoreWriteStatus::Conflict
                                                                       : StoreWriteStatus::NotApplied;
            }
        }
        handler(done);
        wakeWatches();
    });
}

void FakeKeyValueStore::watch(const std::string &key, std::uint64_t after, Duration, ReadHandler handler)
{
    m_calls.emplace_back([this, key, after, handler = std::move(handler)] {
        m_state.admitCall(StandIns::StoreCallKind::Watch, m_now);
        m_watches.push_back({key, after, handler});
        wakeWatches();
    });
}

void FakeKeyValueStore::createLease(std::chrono::milliseconds timeToLive, Duration, LeaseHandler handler)
{
    m_calls.emplace_back([this, timeToLive, handler = std::move(handler)] {
        handler(m_outage ? std::nullopt : std::optional(std::to_string(m_state.createLease(timeToLive, m_now))));
    });
}

void FakeKeyValueStore::renewLease(const std::string &id, Duration, RenewHandler handler)
{
    m_calls.emplace_back([this, id, handler = std::move(handler)] {
        const bool held = !m_outage && m_state.renewLease(std::stoull(id), m_now);
        handler(m_outage ? LeaseStatus::Unknown : held ? LeaseStatus::Held : LeaseStatus::Expired);
    });
}

void FakeKeyValueStore::setOutage(bool outage)
{
    m_outage = outage;
    wakeWatches();
}

void FakeKeyValueStore::loseWriteAnswers(int count)
{
    m_writeAnswersToLose = count;
}

void FakeKeyValueStore::setNow(TimePoint now)
{
    m_now = now;
    if (m_state.expireLeases(now)) {
        wakeWatches();
    }
}

bool FakeKeyValueStore::deliverOne()
{
    if (m_calls.empty()) {
        return false;
    }
    const std::function<void()> call = std::move(m_calls.front());
    m_calls.pop_front();
    call();
    return true;
}

void FakeKeyValueStore::completeAllCalls()
{
    while (deliverOne()) {
    }
}

void FakeKeyValueStore::wakeWatches()
{
    for (std::size_t index = 0; index < m_watches.size();) {
        const StoreReadDone done = read(m_watches[index].key);
        const bool removed = done.status == StoreReadStatus::Missing && m_watches[index].after > 0;
        const bool newer = done.status == StoreReadStatus::Found && done.version > m_watches[index].after;
        if (!removed && !newer && done.status != StoreReadStatus::Failed) {
            ++index;
            continue;
        }
        const ReadHandler handler = std::move(m_watches[index].handler);
        m_watches.erase(m_watches.begin() + static_cast<std::ptrdiff_t>(index));
        handler(done);
    }
}

void FakeKeyValueStore::endWatches()
{
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.handler({watch.key, StoreReadStatus::Unchanged, {}, 0});
    }
}

std::size_t FakeKeyValueStore::pendingCalls() const
{
    return m_calls.size();
}

StoreState &FakeKeyValueStore::state()
{
    return m_state;
}

}
