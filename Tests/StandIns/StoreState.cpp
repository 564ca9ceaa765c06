#include "StandIns/StoreState.h"

#include <algorithm>
#include <utility>

namespace Mangofall::StandIns {

namespace {

// Capacity of the token bucket, in seconds of the sustained call rate.
constexpr double burstSeconds = 0.1;

double tokenBucketSize(double callsPerSecond)
{
    return std::max(1.0, callsPerSecond * burstSeconds);
}

}

bool StoreState::admitCall(StoreCallKind kind, TimePoint now)
{
    ++m_calls[static_cast<std::size_t>(kind)];
    if (m_callsPerSecond <= 0) {
        return true;
    }
    m_rateTokens = std::min(tokenBucketSize(m_callsPerSecond), m_rateTokens + Seconds(now - m_lastRefill).count() * m_callsPerSecond);
    m_lastRefill = now;
    if (m_rateTokens < 1) {
        ++m_callsOverRate;
        return false;
    }
    m_rateTokens -= 1;
    return true;
}

void StoreState::setCallsPerSecond(double rate)
{
    m_callsPerSecond = rate;
    m_rateTokens = tokenBucketSize(rate);
}

const StoreState::Value *StoreState::find(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second;
}

StoreState::PutResult StoreState::put(const std::string &key, std::string bytes, std::uint64_t expectedVersion, std::uint64_t lease)
{
    const Value *current = find(key);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (bytes.size() > maxStoreValueBytes) {
        return {StorePutStatus::TooLarge, version};
    }
    if (lease != 0 && !m_leases.contains(lease)) {
        return {StorePutStatus::NoLease, version};
    }
    if (version != expectedVersion) {
        ++m_conflicts;
        return {StorePutStatus::Conflict, version};
    }
    m_values[key] = Value{std::move(bytes), ++m_lastVersion, lease};
    return {StorePutStatus::Applied, m_lastVersion};
}

std::uint64_t StoreState::createLease(std::chrono::milliseconds ttl, TimePoint now)
{
    m_leases[++m_lastLease] = Lease{ttl, now + ttl};
    return m_lastLease;
}

bool StoreState::renewLease(std::uint64_t id, TimePoint now)
{
    expireLeases(now);
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.expiry = now + found->second.ttl;
    return true;
}

bool StoreState::endLease(std::uint64_t id)
{
    if (m_leases.erase(id) == 0) {
        return false;
    }
    std::erase_if(m_values, [id](const auto &entry) {
        return entry.second.lease == id;
    });
    return true;
}

bool StoreState::expireLeases(TimePoint now)
{
    bool expired = false;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        const auto current = lease++;
        if (current->second.expiry <= now) {
            endLease(current->first);
            expired = true;
        }
    }
    return expired;
}

std::uint64_t StoreState::calls(StoreCallKind kind) const
{
    return m_calls[static_cast<std::size_t>(kind)];
}

std::uint64_t StoreState::callsOverRate() const
{
    return m_callsOverRate;
}

std::uint64_t StoreState::conflicts() const
{
    return m_conflicts;
}

}
