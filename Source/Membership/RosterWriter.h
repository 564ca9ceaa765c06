#pragma once

#include "Membership/DataCentreRoster.h"

#include "Base/Time.h"

#include <optional>
#include <string>
#include <variant>

namespace Mangofall::Membership {

/// The local view of the own data centre; sent on every change and at least once a minute.
struct RosterChanged {
    DataCentreRoster roster;
};

/// The roster was read; version 0 means that the key does not exist.
struct RosterRead {
    std::uint64_t version = 0;
    DataCentreRoster roster;
};

/// The compare-and-swap succeeded.
struct RosterWritten {
    std::uint64_t version = 0;
};

/// The compare-and-swap failed because the version differs.
struct RosterConflict {
};

/// A store call timed out or its response was lost; a write may have taken effect.
struct RosterCallLost {
};

struct RosterTick {
};

using RosterEvent = std::variant<RosterChanged, RosterRead, RosterWritten, RosterConflict, RosterCallLost, RosterTick>;

struct ReadRoster {
    std::string key;
};

struct WriteRoster {
    std::string key;
    std::uint64_t expectedVersion = 0;
    DataCentreRoster roster;
};

/// The store holds claims that this host may not know; give them to the membership table.
struct MergeRoster {
    DataCentreRoster roster;
};

using RosterAction = std::variant<ReadRoster, WriteRoster, MergeRoster>;

/**
 * \class RosterWriterSettings
 * \brief Rates of one data centre's roster calls.
 */
struct RosterWriterSettings {
    std::chrono::milliseconds writeInterval{2000}; ///< Least time between writes; 19 data centres stay below 10 writes/s.
    std::chrono::milliseconds refreshInterval{30'000}; ///< Writes progress of the sequences even if no state changed.
    std::chrono::milliseconds retryInterval{5000}; ///< After a lost call.
};

/**
 * \class RosterWriter
 * \brief Keeps the roster of the own data centre in the store while this host is the data centre's writer.
 *
 * The writer is the live host with the highest rendezvous score. Two hosts with different views may both write for a
 * while: compare-and-swap and the merge of claims make that harmless.
 */
class RosterWriter
{
public:
    using Actions = std::vector<RosterAction>;

    RosterWriter(HostId self, const DataCentreId &dataCentre, RosterWriterSettings settings);

    Actions handle(const RosterEvent &event, TimePoint now);

    /// The host that writes the roster in this view; empty if no host is alive.
    static HostId writerOf(const DataCentreRoster &roster);
    /// Store key of the roster of \p dataCentre.
    static std::string keyOf(const DataCentreId &dataCentre);

private:
    enum class Call {
        None,
        Reading,
        Writing,
    };

    Actions next(TimePoint now);
    bool differs(TimePoint now) const;

    HostId m_self;
    std::string m_key;
    RosterWriterSettings m_settings;
    DataCentreRoster m_local;
    DataCentreRoster m_stored;
    DataCentreRoster m_writing;
    std::optional<std::uint64_t> m_version; ///< Empty until read, and after a write with unknown outcome.
    Call m_call = Call::None;
    TimePoint m_notBefore;
    TimePoint m_lastWrite;
};

}
