#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Mangofall::Experiment {

/**
 * \class PromptRequest
 * \brief One caller's request in a scenario and its result.
 */
struct PromptRequest {
    std::size_t kind = 0; ///< Index of its kind in the scenario.
    std::size_t host = 0; ///< Index of the entry host.
    std::size_t organisation = 0;
    Duration arrival{}; ///< Since the start of the scenario.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    bool completed = false;
    std::uint32_t refusals = 0;
    bool assignedWithinTarget = false; ///< An engine was assigned within the target for the first event.
    Duration firstEventDelay{}; ///< From the arrival until the caller got the first event; valid if completed.
    Duration longestPause{}; ///< Longest time between two events; valid if completed.
    Duration waitTime{}; ///< Time from submission to refusal or deadline, over all of its attempts that ended in one of these ways.
};

}
