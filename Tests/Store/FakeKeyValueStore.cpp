#include "Store/FakeKeyValueStore.h"

#include <utility>

namespace Mangofall::Testing {

using StandIns::StorePutStatus;
using StandIns::StoreState;

StoreReadDone FakeKeyValueStore::makeReadDone(const std::string &key) const
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
        handler(makeReadDone(key));
    });
}

void FakeKeyValueStore::compareAndSwap(
    const std::string &key, std::string value, std::uint64_t expectedVersion, Duration, WriteHandler handler, const std::string &leaseId)
{
    m_calls.emplace_back([this, key, value = std::move(value), expectedVersion, handler = std::move(handler), leaseId] {
        m_state.admitCall(StandIns::StoreCallKind::Put, m_now);
        StoreWriteDone done{key, StoreWriteStatus::Unknown, 0};
        if (!m_outage) {
            const StoreState::PutResult result = m_state.put(key, value, expectedVersion, leaseId.empty() ? 0 : std::stoull(leaseId));
            const bool answered = m_remainingLostWriteAnswers == 0;
            m_remainingLostWriteAnswers -= answered ? 0 : 1;
            if (answered) {
                done.version = result.version;
                done.status = result.status == StorePutStatus::Applied ? StoreWriteStatus::Applied
                    : result.status == StorePutStatus::Conflict        ? StoreWriteStatus::Conflict
                                                                       : StoreWriteStatus::NotApplied;
            }
        }
        handler(done);
        completeDueWatches();
    });
}

void FakeKeyValueStore::watch(const std::string &key, std::uint64_t afterVersion, Duration, ReadHandler handler)
{
    m_calls.emplace_back([this, key, afterVersion, handler = std::move(handler)] {
        m_state.admitCall(StandIns::StoreCallKind::Watch, m_now);
        m_watches.push_back({key, afterVersion, handler});
        completeDueWatches();
    });
}

void FakeKeyValueStore::createLease(std::chrono::milliseconds timeToLive, Duration, LeaseHandler handler)
{
    m_calls.emplace_back([this, timeToLive, handler = std::move(handler)] {
        handler(m_outage ? std::nullopt : std::optional(std::to_string(m_state.createLease(timeToLive, m_now))));
    });
}

void FakeKeyValueStore::renewLease(const std::string &leaseId, Duration, RenewHandler handler)
{
    m_calls.emplace_back([this, leaseId, handler = std::move(handler)] {
        const bool renewed = !m_outage && m_state.renewLease(std::stoull(leaseId), m_now);
        handler(m_outage ? LeaseStatus::Unknown : renewed ? LeaseStatus::Held : LeaseStatus::Expired);
    });
}

void FakeKeyValueStore::setOutage(bool outage)
{
    m_outage = outage;
    completeDueWatches();
}

void FakeKeyValueStore::loseWriteAnswers(int count)
{
    m_remainingLostWriteAnswers = count;
}

void FakeKeyValueStore::setTime(TimePoint now)
{
    m_now = now;
    if (m_state.expireLeases(now)) {
        completeDueWatches();
    }
}

bool FakeKeyValueStore::completeNextCall()
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
    while (completeNextCall()) {
    }
}

void FakeKeyValueStore::completeDueWatches()
{
    for (std::size_t index = 0; index < m_watches.size();) {
        const StoreReadDone done = makeReadDone(m_watches[index].key);
        const bool keyRemoved = done.status == StoreReadStatus::Missing && m_watches[index].afterVersion > 0;
        const bool newerVersion = done.status == StoreReadStatus::Found && done.version > m_watches[index].afterVersion;
        if (!keyRemoved && !newerVersion && done.status != StoreReadStatus::Failed) {
            ++index;
            continue;
        }
        const ReadHandler handler = std::move(m_watches[index].handler);
        m_watches.erase(m_watches.begin() + static_cast<std::ptrdiff_t>(index));
        handler(done);
    }
}

void FakeKeyValueStore::timeOutWatches()
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
