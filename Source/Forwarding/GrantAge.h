#pragma once

#include "Base/Time.h"
#include "Peer/PeerMessages_generated.h"

#include <cstdint>
#include <optional>

namespace Mangofall::Forwarding {

/**
 * \class CallRecord
 * \brief The last call that the owner has read for a placement request.
 *
 * The owner returns the caller's time with the grant, so that the caller can tell how long ago the grant was made at most, without a common clock: the time
 * since it sent the call, without the time for which the request waited at the owner. Times are boot times, which go on while a machine is suspended.
 */
struct CallRecord {
    std::uint64_t sentUs = 0; ///< By the clock of the caller; 0 if it did not say.
    Duration readAt{};
};

/// Says in \p call that it is sent at \p bootTime.
void setSendTime(Wire::PlacementCallT &call, Duration bootTime);
/// Says in \p answer, a grant of \p bootTime, to which call it belongs, and whether the upstream is \p cold.
void setCall(Wire::PlacementAnswerT &answer, const CallRecord &call, bool cold, Duration bootTime);
/// The longest time that may have passed since the grant; empty if the owner does not say.
std::optional<Duration> grantAge(const Wire::PlacementAnswerT &answer, Duration bootTime);

}
