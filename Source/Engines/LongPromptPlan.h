#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class PromptSegment
 * \brief A contiguous part of a prompt; one engine stores its KV cache.
 */
struct PromptSegment {
    UpstreamId upstream;
    std::uint64_t firstToken = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< Memory for generated tokens, in tokens; 0 except in the last segment.

    /// Memory that the segment needs at its engine, in tokens.
    std::uint64_t memoryTokens() const
    {
        return promptTokens + outputTokens;
    }

    friend bool operator==(const PromptSegment &, const PromptSegment &) = default;
};

/**
 * \class LongPromptPlan
 * \brief The engines of one data centre that run a prompt one after another; the last one decodes.
 */
struct LongPromptPlan {
    DataCentreId dataCentre;
    std::vector<PromptSegment> segments; ///< In the order of the prompt; each engine occurs at most once.
};

}
