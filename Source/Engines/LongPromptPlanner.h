#pragma once

#include "Base/ErrorKind.h"
#include "Engines/LongPromptPlan.h"

#include <cstdint>
#include <span>
#include <variant>

namespace Mangofall {

/**
 * \class EngineMemory
 * \brief Total and free KV memory of one engine that serves the prompt's model.
 */
struct EngineMemory {
    UpstreamId upstream;
    DataCentreId dataCentre;
    std::uint64_t memoryTokens = 0; ///< Total KV memory, in tokens.
    std::uint64_t freeTokens = 0; ///< Estimate of the memory that is free now, in tokens; 0 for an engine that must not get new work.
};

/// The plan, or an error: PromptNeverFits if even the idle engines could not hold the prompt, NoUpstream if only the memory free now is too small.
using LongPromptPlanResult = std::variant<LongPromptPlan, ErrorKind>;

/**
 * \class LongPromptPlanner
 * \brief Splits a prompt over as few engines of one data centre as possible, those with the most free memory first.
 *
 * Each engine holds the KV cache of its own segment until the request ends; the cache is exported to the next engine of
 * the chain. The engine with the most free memory decodes, because the generated tokens need memory in addition to its segment.
 */
class LongPromptPlanner
{
public:
    /// Plans a prompt of \p promptTokens (at least 1), with at most \p outputTokens generated tokens, on \p engines.
    static LongPromptPlanResult plan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines);
};

}
