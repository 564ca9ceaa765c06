#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Membership {

/**
 * \class MembershipSettings
 * \brief Time limits of failure detection.
 */
struct MembershipSettings {
    std::uint32_t silentIntervals = 3; ///< Expected heartbeats that may be missing before a probe; two are lost when one connection is replaced.
    std::chrono::milliseconds probeTimeout{500}; ///< Connection set-up and answer; above a retransmitted SYN would be 1 s, which the next probe covers.
    std::chrono::milliseconds probeInterval{500}; ///< Between the end of a failed probe and the next one.
    std::chrono::milliseconds deadAfter{2500}; ///< Suspicion before death.
    std::uint32_t probesBeforeDeath = 3; ///< Failed probes that death needs besides the time.
    std::chrono::milliseconds rejoinProbeInterval{10'000}; ///< Between probes of dead and merely listed hosts; heals a partition.
    std::chrono::minutes forgetAfter{10}; ///< A dead host that is no longer listed is forgotten.
    std::chrono::milliseconds fetchRetry{1000}; ///< Before another configuration fetch of the same revision.
    std::uint32_t silentDigests = 4; ///< Expected digests that may be missing before hosts of that data centre are probed.
};

}
