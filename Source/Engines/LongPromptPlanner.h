#pragma once

#include "Base/ErrorKind.h"
#include "Engines/LongPromptPlan.h"

#include <cstdint>
#include <span>
#include <variant>

namespace Mangofall {

/**
 * \class EngineMemory
 * \brief What the planner knows of one engine of the prompt's model.
 */
struct EngineMemory {
    UpstreamId upstream;
    DataCentreId dataCentre;
    std::uint64_t memoryTokens = 0; ///< KV memory in tokens.
    std::uint64_t freeTokens = 0; ///< Believed free now; 0 for an engine that may take no work.
};

/// The plan, or PromptNeverFits (even if all engines were empty) or NoUpstream (not now).
using LongPromptPlanResult = std::variant<LongPromptPlan, ErrorKind>;

/**
 * \class LongPromptPlanner
 * \brief Splits a prompt over the engines of one data centre, on as few engines as possible, those with most free memory first.
 *
 * Each engine holds the KV cache of its own segment until the request ends; the cache is exported to the next engine of
 * the chain. The engine with most free memory decodes, because the generated tokens need room beside its segment.
 */
class LongPromptPlanner
{
public:
    /// Plans \p promptTokens (at least 1) and at most \p outputTokens generated ones on \p engines.
    static LongPromptPlanResult plan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines);
};

}
