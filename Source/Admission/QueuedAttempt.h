#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class QueuedAttempt
 * \brief An attempt that waits to be sent to its upstream.
 */
struct QueuedAttempt {
    AttemptId attempt;
    OrganisationId organisation;
    double weight = 1; ///< The organisation's relative share while several organisations wait; above 0.
    std::uint64_t promptTokens = 0; ///< Estimated.
    std::uint64_t uncachedTokens = 0; ///< Prompt tokens that are not in the upstream's cache and need prefill.
    LengthClass lengthClass = LengthClass::Short;
    TimePoint deadline;
    TimePoint arrival;
};

}
