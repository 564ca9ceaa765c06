#pragma once

#include "Base/AttemptId.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class QueuedAttempt
 * \brief An attempt that waits for its upstream.
 */
struct QueuedAttempt {
    AttemptId attempt;
    OrganisationId organisation;
    double weight = 1; ///< The organisation's share under contention; above 0.
    std::uint64_t promptTokens = 0; ///< Estimated.
    std::uint64_t uncachedTokens = 0; ///< Part of the prompt that needs prefill.
    LengthClass lengthClass = LengthClass::Short;
    TimePoint deadline;
    TimePoint arrival;
};

}
