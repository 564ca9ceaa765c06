#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class RequestProfile
 * \brief Properties of a request that the choice of its upstream depends on.
 */
struct RequestProfile {
    ModelId model; ///< Set for model requests.
    ServiceId service; ///< Set for requests to a service that is not a model.
    OrganisationId organisation;
    std::uint64_t promptTokens = 0; ///< Estimated number of prompt tokens; 0 for requests to a service that is not a model.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's leading blocks.
    LengthClass lengthClass = LengthClass::Short;
    TimePoint deadline;
    bool idempotent = true;
};

}
