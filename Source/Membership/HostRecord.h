#pragma once

#include "Membership/HostStatus.h"

#include "Base/Time.h"

#include <optional>

namespace Mangofall::Membership {

/// Why a series of probes started.
enum class ProbeCause {
    Silence, ///< Expected heartbeats are missing.
    Connection, ///< A connection to the host closed or made no progress.
    Claim, ///< Another host's claim contradicts the state recorded here, or another host appeared at the same address.
    Listed, ///< The host is on the host list but unknown, or it is dead and may have returned.
    Renewal, ///< This host was paused and renews its view.
};

/**
 * \class HostProbes
 * \brief A series of probes of one host, from the first probe to an answer or the host's death.
 */
struct HostProbes {
    ProbeCause cause = ProbeCause::Silence;
    std::uint64_t first = 0; ///< Number of the first probe; answers to earlier ones do not end this series.
    std::uint64_t current = 0; ///< Number of the last probe sent.
    bool waiting = true; ///< Whether the current probe has neither been answered nor failed.
    TimePoint due; ///< Time limit of the current probe if waiting, otherwise the time of the next one.
    std::uint32_t failed = 0; ///< Number of failed probes.
};

/**
 * \class HostRecord
 * \brief Record of one other host in the membership table.
 */
struct HostRecord {
    HostStatus status;
    bool leaving = false; ///< Kept while the host is suspect, so that it is still leaving when it recovers.
    bool listed = false; ///< Whether the last host list names the host.
    TimePoint lastHeard; ///< Last heartbeat or answered probe.
    TimePoint lastChange; ///< Last change of status.state or status.incarnation.
    std::optional<HostProbes> probes;
    std::string loadSummary; ///< Opaque bytes of the last heartbeat that carried a load summary.
};

}
