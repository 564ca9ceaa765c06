#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Membership {

/**
 * \class MembershipSettings
 * \brief Time limits of failure detection.
 */
struct MembershipSettings {
    std::uint32_t silentIntervals = 3; ///< Heartbeat intervals without a heartbeat before a probe; replacing a connection loses two heartbeats.
    /// For connecting and the answer. A lost SYN is retransmitted only after 1 s; the next probe covers that case.
    std::chrono::milliseconds probeTimeout{500};
    std::chrono::milliseconds probeInterval{500}; ///< Between a failed probe and the next one.
    std::chrono::milliseconds deadAfter{2500}; ///< Shortest time from suspicion to death.
    std::uint32_t probesBeforeDeath = 3; ///< Failed probes that are required before death, besides the time.
    std::chrono::milliseconds rejoinProbeInterval{10'000}; ///< Between probes of dead hosts and of hosts known only from the list; lets a partition heal.
    std::chrono::minutes forgetAfter{10}; ///< After this time a dead host that is no longer on the host list is removed.
    std::chrono::milliseconds fetchRetry{1000}; ///< Shortest time between two fetches of the same configuration revision.
    std::uint32_t silentDigests = 4; ///< Digest intervals without a digest before hosts of that data centre are probed.
};

}
