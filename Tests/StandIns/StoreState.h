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

/// Outcome of a write.
enum class StorePutStatus {
    Applied,
    Conflict, ///< The key has another version than expected.
    TooLarge,
    NoLease, ///< The named lease does not exist or has expired.
};

/**
 * \class StoreState
 * \brief The platform store's keys, versions, leases, call counts and call rate, without sockets or a clock.
 *
 * Versions come from one counter for all keys, so a key that is created again has a higher version than before.
 */
class StoreState
{
public:
    struct Value {
        std::string bytes;
        std::uint64_t version = 0;
        std::uint64_t lease = 0; ///< 0: the value does not depend on a lease.
    };

    struct PutResult {
        StorePutStatus status = StorePutStatus::Applied;
        std::uint64_t version = 0; ///< The key's version after the call; 0 if the key does not exist.
    };

    /// Counts a call at \p now; false if it exceeds the call rate.
    bool admitCall(StoreCallKind kind, TimePoint now);
    /// Sets the sustained rate; bursts of one tenth of a second's calls are admitted. 0 means no limit.
    void setCallsPerSecond(double rate);

    /// The value of \p key, or null.
    const Value *find(const std::string &key) const;
    /// Writes \p key if its version is \p expectedVersion (0: the key does not exist).
    PutResult put(const std::string &key, std::string bytes, std::uint64_t expectedVersion, std::uint64_t lease = 0);

    std::uint64_t createLease(std::chrono::milliseconds ttl, TimePoint now);
    /// False if the lease has expired.
    bool renewLease(std::uint64_t id, TimePoint now);
    /// Ends a lease at once and removes its keys; false if there is none.
    bool endLease(std::uint64_t id);
    /// Ends the leases whose time to live has passed; true if there was one.
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
    double m_tokens = 0;
    TimePoint m_tokensAt;
};

}
