#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace Mangofall::Membership {

// Sizes on the wire. Every message is counted at its sender and at its receiver, each with an acknowledgement of its own.

constexpr std::size_t packetHeaderBytes = 52; // IPv4 20, TCP 20, timestamp option 12
constexpr std::size_t messageOverheadBytes = 4 + 2 * packetHeaderBytes; // frame prefix, data packet, acknowledgement
/// A heartbeat in FlatBuffers whose ids and address are left out, because the connection's Hello carried them.
constexpr std::size_t heartbeatBytes = 120; // envelope 24, field table 28, fields 68
constexpr std::size_t digestBytes = 140; // three ids 72, fields 68
constexpr std::size_t hostClaimBytes = 104; // host id 32, address 20, fields 52; region and data centre are the digest's
/// Claims in one digest: changed hosts first, then hosts in rotation.
constexpr std::size_t claimsPerDigest = 2;

/**
 * \class HeartbeatTrafficCounts
 * \brief Counts that determine one host's membership traffic.
 */
struct HeartbeatTrafficCounts {
    std::size_t hosts = 1; ///< In the own data centre, this one included.
    std::size_t watchers = 0; ///< Hosts that get this host's heartbeat every watch interval, and hosts that it watches.
    std::size_t linksOut = 0; ///< Links that start at this host.
    std::size_t linksIn = 0; ///< Links that end at this host.
    std::size_t dataCentreLinksIn = 0; ///< Links that end in the data centre; their digests are relayed to this host.
    std::size_t loadBytes = 0; ///< Load summary in a heartbeat.
    std::size_t digestLoadBytes = 0; ///< Load summary in a digest.
};

/// Bytes that one round of heartbeats to the whole data centre costs a host, sent and received, with the relayed digests.
double meshRoundBytes(const HeartbeatTrafficCounts &shape);

/// Bytes per second of a host, sent plus received, for watch heartbeats, mesh heartbeats, relayed digests and links.
double bytesPerSecond(const HeartbeatTrafficCounts &shape, Duration watchInterval, Duration meshInterval, Duration linkInterval);

/// Shortest mesh interval, not below \p watchInterval, that keeps a host within \p budget bytes per second if the link interval
/// is the shorter of the mesh interval and \p linkInterval.
Duration meshIntervalWithin(double budget, const HeartbeatTrafficCounts &shape, Duration watchInterval, Duration linkInterval);

}
