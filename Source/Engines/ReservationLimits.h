#pragma once

#include "Base/Time.h"

namespace Mangofall {

/**
 * \class ReservationLimits
 * \brief Durations that apply to memory reservations at engines.
 *
 * The grace period exceeds the renewal interval, so that after a change of dispatcher the live owners renew their
 * reservations before their blocks are freed as orphans.
 */
struct ReservationLimits {
    Duration validity = std::chrono::seconds(10); ///< A reservation that is not renewed expires after this time.
    Duration renewInterval = std::chrono::seconds(3);
    Duration answerTimeout = std::chrono::seconds(1); ///< A reservation call without an answer by then counts as refused.
    Duration maxRetryDelay = std::chrono::milliseconds(500); ///< Upper bound of the random delay before the one retry.
    Duration orphanGrace = std::chrono::seconds(10); ///< A block that an engine holds without a live owner for this long is freed.
};

}
