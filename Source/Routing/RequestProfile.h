#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class RequestProfile
 * \brief What the choice of an upstream needs to know about a request.
 */
struct RequestProfile {
    ModelId model; ///< Set for model requests.
    ServiceId service; ///< Set for calls of a plain service.
    OrganisationId organisation;
    std::uint64_t promptTokens = 0; ///< Estimated; 0 for plain calls.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's leading blocks.
    LengthClass lengthClass = LengthClass::Short;
    TimePoint deadline;
    bool idempotent = true;
};

}
