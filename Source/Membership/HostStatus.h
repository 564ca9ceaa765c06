#pragma once

#include "Base/Ids.h"
#include "Config/FleetConfiguration.h"

#include <cstdint>
#include <string>

namespace Mangofall::Membership {

/// Liveness of a host as one observer sees it. The order is the precedence between claims about the same heartbeat.
enum class HostState {
    Listed, ///< Known from the platform's host list only; never heard of directly.
    Alive,
    Leaving, ///< Runs its planned stop: owns nothing and gets no new work.
    Suspect, ///< Did not answer a probe; still owns its keys.
    Dead,
};

/**
 * \class HostStatus
 * \brief One observer's claim about one host, as digests and rosters carry it.
 */
struct HostStatus {
    HostId host;
    std::uint64_t incarnation = 0; ///< Start of the process; a higher one is a newer process.
    std::uint64_t sequence = 0; ///< Heartbeat that the claim rests on.
    HostState state = HostState::Listed;
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address.
    std::uint16_t port = 0; ///< Port of the control connection.
    Revision revision = 0; ///< Configuration in force there.

    friend bool operator==(const HostStatus &, const HostStatus &) = default;
};

/// Added to the last heartbeat's sequence in a claim of death, so that it supersedes the claim of an observer who saw more heartbeats.
/// A host sends up to about 10 sequences a second, and observers differ by the mesh interval of about 18 s at most.
constexpr std::uint64_t deathSequenceMargin = 256;

/// Whether \p claim is newer than \p known: compares incarnation, then sequence, then state. Merging by it is commutative and idempotent.
bool supersedes(const HostStatus &claim, const HostStatus &known);

}
