#pragma once

#include "Membership/HostStatus.h"

#include "Base/Time.h"

#include <optional>

namespace Mangofall::Membership {

/// Why a run of probes started.
enum class ProbeCause {
    Silence, ///< Expected heartbeats are missing.
    Connection, ///< A connection broke or made no progress.
    Claim, ///< Another host claims what this one does not know.
    Listed, ///< The host list names the host, or it was lost and may have returned.
    Renewal, ///< This host was paused.
};

/**
 * \class HostProbes
 * \brief A run of probes of one host, from the first until an answer or death.
 */
struct HostProbes {
    ProbeCause cause = ProbeCause::Silence;
    std::uint64_t first = 0; ///< Answers to probes of an earlier run prove nothing about this one.
    std::uint64_t current = 0;
    bool waiting = true; ///< Whether the current probe has neither been answered nor failed.
    TimePoint due; ///< Time limit of the current probe if waiting, otherwise the time of the next one.
    std::uint32_t failed = 0;
};

/**
 * \class HostRecord
 * \brief What the membership table holds about one other host.
 */
struct HostRecord {
    HostStatus status;
    bool leaving = false; ///< Kept while suspected, so that a host that recovers is still leaving.
    bool listed = false; ///< Named by the last host list.
    TimePoint lastHeard; ///< Last heartbeat or answered probe.
    TimePoint lastChange; ///< Of status.state or status.incarnation.
    std::optional<HostProbes> probes;
    std::string loadSummary; ///< Opaque; from the last heartbeat that carried one.
};

}
