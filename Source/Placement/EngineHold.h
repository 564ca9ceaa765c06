#pragma once

#include "Base/Time.h"
#include "Placement/PlacementRequest.h"

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class EngineHold
 * \brief What a reservation needs of one engine from its start on.
 */
struct EngineHold {
    PlacementRequestId owner; ///< The request that the engine is reserved for.
    TimePoint start;
    Duration partPrefill{}; ///< Prefill time of the engine's part of the prompt.
    std::uint64_t memoryTokens = 0;

    friend bool operator==(const EngineHold &, const EngineHold &) = default;
};

}
