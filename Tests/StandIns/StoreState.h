#pragma once

#include "Base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Mangofall::StandIns {

enum class StoreCallKind {
    Get,
    Put,
    Watch,
    LeaseCreate,
    LeaseRenew,
};

constexpr std::size_t storeCallKindCount = 5;

/// Largest value that the platform's store accepts, in bytes.
constexpr std::size_t maxStoreValueBytes = 1'000'000;

/// Result of a conditional write.
enum class StorePutStatus {
    Applied,
    Conflict, ///< The current version of the key is not the expected one.
    TooLarge,
    NoLease, ///< The named lease does not exist or has expired.
};

/**
 * \class StoreState
 * \brief State of the store stand-in: keys, versions, leases, call counts and a call rate limit, without sockets or a clock.
 *
 * Versions come from one counter for all keys, so a key that is created again has a higher version than before.
 */
class StoreState
{
public:
    struct Value {
        std::string bytes;
        std::uint64_t version = 0;
        std::uint64_t lease = 0; ///< 0: the value is not bound to a lease.
    };

    struct PutResult {
        StorePutStatus status = StorePutStatus::Applied;
        std::uint64_t version = 0; ///< The key's version after the call; 0 if the key does not exist.
    };

    /// Counts a call at \p now; returns false if the call exceeds the call rate.
    bool admitCall(StoreCallKind kind, TimePoint now);
    /// Sets the sustained rate in calls per second (0 = no limit); bursts of up to a tenth of a second's calls, but at least one call, are admitted.
    void setCallsPerSecond(double rate);

    /// Returns the value of \p key, or null if the key does not exist.
    const Value *find(const std::string &key) const;
    /// Writes \p key only if its current version is \p expectedVersion (0: the key does not exist).
    PutResult put(const std::string &key, std::string bytes, std::uint64_t expectedVersion, std::uint64_t lease = 0);

    std::uint64_t createLease(std::chrono::milliseconds ttl, TimePoint now);
    /// Extends a lease by its time to live; returns false if the lease does not exist or has expired.
    bool renewLease(std::uint64_t id, TimePoint now);
    /// Ends a lease at once and removes its keys; returns false if the lease does not exist.
    bool endLease(std::uint64_t id);
    /// Ends the leases whose time to live has passed and removes their keys; returns true if any lease ended.
    bool expireLeases(TimePoint now);

    std::uint64_t calls(StoreCallKind kind) const;
    std::uint64_t callsOverRate() const;
    std::uint64_t conflicts() const;

private:
    struct Lease {
        std::chrono::milliseconds ttl{0};
        TimePoint expiry;
    };

    std::map<std::string, Value> m_values;
    std::map<std::uint64_t, Lease> m_leases;
    std::array<std::uint64_t, storeCallKindCount> m_calls{};
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_callsOverRate = 0;
    std::uint64_t m_conflicts = 0;
    double m_callsPerSecond = 0;
    double m_rateTokens = 0;
    TimePoint m_lastRefill;
};

}
