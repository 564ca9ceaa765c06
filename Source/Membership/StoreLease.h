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
 * \brief Times of a lease; the same on all hosts.
 */
struct LeaseSettings {
    std::chrono::milliseconds validity{30'000}; ///< Counted from the sending of the write.
    std::chrono::milliseconds renewal{10'000}; ///< Between renewals.
    std::chrono::milliseconds successorWait{30'000}; ///< At least the validity, or zero if a newer term excludes older ones by other means.
    std::chrono::milliseconds retry{1000}; ///< After a lost store call.
    std::chrono::milliseconds poll{2000}; ///< Between reads while waiting for the holder, which may release the lease early.
    double clockDrift = 0.01; ///< Added to every wait on another host's expiry.
};

/// Value of a lease's key in the store.
struct LeaseValue {
    HostId holder; ///< Empty if released.
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    Duration wait{}; ///< How long a successor must see this version unchanged before it takes over.
};

/// Whether this host should hold the lease; \c lastUse is when the last effect of holding it ends.
struct LeaseWanted {
    bool wanted = false;
    TimePoint lastUse;
};

/// Version 0 means that the key does not exist.
struct LeaseRead {
    std::uint64_t version = 0;
    LeaseValue value;
};

struct LeaseWritten {
    std::uint64_t version = 0;
};

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

/// This host holds the lease in \c term until \c until; reported again at each renewal. Terms increase with every new holder.
struct LeaseGranted {
    std::uint64_t term = 0;
    TimePoint until;
};

struct LeaseEnded {
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseGranted, LeaseEnded>;

/**
 * \class StoreLease
 * \brief Acquires, renews and releases a lease that excludes other holders, through compare-and-swap on one key of the platform's store.
 *
 * No clock is shared: a successor waits until it has seen the holder's version unchanged for the time that the value states.
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
    bool m_calling = false;
    bool m_holding = false;
    TimePoint m_until; ///< End of the last term; no effect of it lasts longer, and no new term starts before.
    TimePoint m_lastUse;
    std::optional<std::uint64_t> m_version; ///< Version last seen; empty if it must be read again.
    LeaseValue m_value; ///< Value at that version.
    std::optional<std::uint64_t> m_seenVersion; ///< Version since whose first sight the wait counts.
    TimePoint m_takeOver; ///< When the value seen may be replaced.
    TimePoint m_nextPoll;
    LeaseValue m_written;
    std::uint64_t m_expected = 0; ///< Version that the unresolved writes replace.
    std::optional<TimePoint> m_oldestSent; ///< Earliest unresolved write; a successor may have seen its effect since then.
    TimePoint m_notBefore = TimePoint::min();
};

}
