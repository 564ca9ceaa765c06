#pragma once

#include "Base/Time.h"

namespace Mangofall {

/**
 * \class ReservationLimits
 * \brief Times of reservations of engine memory.
 *
 * The grace exceeds the renewal interval, so that after a change of dispatcher living owners renew before their blocks
 * count as orphans.
 */
struct ReservationLimits {
    Duration validity = std::chrono::seconds(10); ///< A reservation that is not renewed expires after this.
    Duration renewInterval = std::chrono::seconds(3);
    Duration answerTimeout = std::chrono::seconds(1); ///< A reservation call without answer counts as refused.
    Duration maxRetryDelay = std::chrono::milliseconds(500); ///< Longest wait before the one retry.
    Duration orphanGrace = std::chrono::seconds(10); ///< What an engine holds without living owner for this long is freed.
};

}
