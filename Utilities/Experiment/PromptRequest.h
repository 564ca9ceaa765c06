#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Mangofall::Experiment {

/**
 * \class PromptRequest
 * \brief One caller's request of a scenario and what became of it.
 */
struct PromptRequest {
    std::size_t kind = 0;
    std::size_t host = 0; ///< The entry host.
    std::size_t organisation = 0;
    Duration arrival{}; ///< Since the start of the scenario.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    bool completed = false;
    std::uint32_t refusals = 0;
    bool offered = false; ///< It was sent to an engine within its target.
    Duration firstEventReceived{}; ///< After the arrival; valid if completed.
    Duration longestPause{};
    Duration held{}; ///< Time that hosts held it without a place, over all of its attempts.
};

}
