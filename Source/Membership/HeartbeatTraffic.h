#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace Mangofall::Membership {

// Sizes on the wire. Every message counts at its sender and at its receiver, and includes a TCP acknowledgement of its own.

constexpr std::size_t packetHeaderBytes = 52; // IPv4 header 20, TCP header 20, TCP timestamp option 12
constexpr std::size_t messageOverheadBytes = 4 + 2 * packetHeaderBytes; // frame prefix, data packet, acknowledgement
/// A heartbeat in FlatBuffers without ids and address, which the connection's Hello carried.
constexpr std::size_t heartbeatBytes = 120; // envelope 24, field table 28, fields 68
constexpr std::size_t digestBytes = 140; // three ids 72, fields 68
constexpr std::size_t hostClaimBytes = 104; // host id 32, address 20, fields 52; the digest itself carries region and data centre
/// Host claims in one digest: about changed hosts first, then about the other hosts in rotation.
constexpr std::size_t claimsPerDigest = 2;

/**
 * \class HeartbeatTrafficCounts
 * \brief Counts that determine one host's membership traffic.
 */
struct HeartbeatTrafficCounts {
    std::size_t hosts = 1; ///< Hosts of the data centre, this one included.
    std::size_t watchers = 0; ///< Hosts that get this host's heartbeat every watch interval; equals the number of hosts that it watches.
    std::size_t linksOut = 0; ///< Links that start at this host.
    std::size_t linksIn = 0; ///< Links that end at this host.
    std::size_t dataCentreLinksIn = 0; ///< Links that end in this host's data centre; their digests are relayed to this host.
    std::size_t loadBytes = 0; ///< Size of the load summary in a heartbeat.
    std::size_t digestLoadBytes = 0; ///< Size of the load summary in a digest.
};

/// Bytes that a host sends plus receives in one mesh interval for mesh heartbeats and the digests relayed with them.
double meshRoundBytes(const HeartbeatTrafficCounts &counts);

/// Bytes per second that a host sends plus receives for watch heartbeats, mesh heartbeats, relayed digests and links.
double bytesPerSecond(const HeartbeatTrafficCounts &counts, Duration watchInterval, Duration meshInterval, Duration linkInterval);

/// Shortest mesh interval, at least \p watchInterval, that keeps a host within \p budget bytes per second if links send at the
/// shorter of the mesh interval and \p linkInterval.
Duration meshIntervalWithin(double budget, const HeartbeatTrafficCounts &counts, Duration watchInterval, Duration linkInterval);

}
