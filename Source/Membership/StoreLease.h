#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Mangofall::Membership {

/**
 * \class LeaseSettings
 * \brief Durations of a lease; they must be the same on all hosts.
 */
struct LeaseSettings {
    std::chrono::milliseconds validity{30'000}; ///< From the sending of the write that acquires or renews the lease.
    std::chrono::milliseconds renewal{10'000}; ///< Between renewals.
    /// Time that a successor waits; at least the validity, or zero if a newer term excludes older ones by other means.
    std::chrono::milliseconds successorWait{30'000};
    std::chrono::milliseconds retry{1000}; ///< Wait after a store call without a response.
    std::chrono::milliseconds poll{2000}; ///< Between reads while another host holds the lease, which it may release early.
    double clockDrift = 0.01; ///< Relative; added to every wait for another host's lease to expire.
};

/// Value of a lease's key in the store.
struct LeaseValue {
    HostId holder; ///< Empty if released.
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    Duration wait{}; ///< How long a successor must see this version unchanged before it takes over.
};

/// Whether this host should hold the lease; \c lastUse is when the last effect of holding the lease ends.
struct LeaseWanted {
    bool wanted = false;
    TimePoint lastUse;
};

/// The key was read; version 0 means that it does not exist.
struct LeaseRead {
    std::uint64_t version = 0;
    LeaseValue value;
};

/// A write took effect and gave the key this version.
struct LeaseWritten {
    std::uint64_t version = 0;
};

/// A write was rejected because the key no longer had the expected version.
struct LeaseConflict {
};

/// A call timed out or its response was lost; a write may have taken effect or may still do so.
struct LeaseCallLost {
};

struct LeaseTick {
};

using LeaseEvent = std::variant<LeaseWanted, LeaseRead, LeaseWritten, LeaseConflict, LeaseCallLost, LeaseTick>;

struct ReadLease {
    std::string key;
};

struct WriteLease {
    std::string key;
    std::uint64_t expectedVersion = 0;
    LeaseValue value;
};

/// This host holds the lease under the term number \c term until \c until; reported again at each renewal. Terms increase with every new holder.
struct LeaseGranted {
    std::uint64_t term = 0;
    TimePoint until;
};

/// This host no longer holds the lease.
struct LeaseEnded {
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseGranted, LeaseEnded>;

/**
 * \class StoreLease
 * \brief Acquires, renews and releases a lease that excludes other holders, through compare-and-swap on one key of the platform's store.
 *
 * The hosts share no clock: a successor waits until it has seen the holder's version unchanged for the time given in the value.
 */
class StoreLease
{
public:
    using Actions = std::vector<LeaseAction>;

    StoreLease(HostId self, std::uint64_t incarnation, std::string key, LeaseSettings settings);

    Actions handle(const LeaseEvent &event, TimePoint now);

private:
    void onRead(const LeaseRead &event, TimePoint now, Actions &actions);
    void onWritten(std::uint64_t version, TimePoint now, Actions &actions);
    void end(TimePoint now, Actions &actions);
    void tick(TimePoint now, Actions &actions);
    void write(LeaseValue value, TimePoint now, Actions &actions);
    Duration withDrift(Duration wait) const;

    HostId m_self;
    std::uint64_t m_incarnation;
    std::string m_key;
    LeaseSettings m_settings;
    bool m_wanted = false;
    bool m_callInFlight = false;
    bool m_holding = false;
    TimePoint m_heldUntil; ///< End of the last term and of its effects; no new term starts earlier.
    TimePoint m_lastUse;
    std::optional<std::uint64_t> m_version; ///< Last known version; empty if the key must be read again.
    LeaseValue m_value; ///< Value at m_version.
    std::optional<std::uint64_t> m_observedVersion; ///< Version whose first observation started the wait.
    TimePoint m_takeOverAt; ///< When this host may replace the observed value.
    TimePoint m_nextPoll;
    LeaseValue m_lastWritten; ///< Value of the last write sent.
    std::uint64_t m_replacedVersion = 0; ///< Version that the unresolved writes would replace.
    std::optional<TimePoint> m_oldestWriteSent; ///< When the earliest unresolved write was sent; a successor may have seen its effect since then.
    TimePoint m_notBefore = TimePoint::min(); ///< No store call starts earlier.
};

}
