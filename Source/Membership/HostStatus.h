#pragma once

#include "Base/Ids.h"
#include "Config/FleetConfiguration.h"

#include <cstdint>
#include <string>

namespace Mangofall::Membership {

/// Liveness of a host as one observer sees it. The order is the precedence between claims about the same heartbeat.
enum class HostState {
    Listed, ///< Known only from the platform's host list or from a claim that is not yet verified; no heartbeat has arrived.
    Alive,
    Leaving, ///< Runs its planned stop: owns no keys and gets no new work.
    Suspect, ///< Did not answer a probe; still owns its keys.
    Dead,
};

/**
 * \class HostStatus
 * \brief One observer's claim about one host, as digests and rosters carry it.
 */
struct HostStatus {
    HostId host;
    std::uint64_t incarnation = 0; ///< Identifies one start of the process; a higher value is a newer process.
    std::uint64_t sequence = 0; ///< Sequence of the heartbeat on which the claim is based.
    HostState state = HostState::Listed;
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address.
    std::uint16_t port = 0; ///< Port of the control connection.
    Revision revision = 0; ///< Revision of the configuration in force on the host.

    friend bool operator==(const HostStatus &, const HostStatus &) = default;
};

/// Added to the last heartbeat's sequence in a claim of death, so that it supersedes the claim of an observer that received later heartbeats.
/// A host sends up to about 10 sequences a second, and observers differ by the mesh interval of about 18 s at most.
constexpr std::uint64_t deathSequenceMargin = 256;

/// Whether \p claim is newer than \p known: compares incarnation, then sequence, then state. Merging in this order is commutative and idempotent.
bool supersedes(const HostStatus &claim, const HostStatus &known);

}
