#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class EngineHelper
 * \brief An engine that prefills part of a prompt, and the memory reservation there.
 */
struct EngineHelper {
    NetworkAddress address;
    std::string reservationName; ///< Name of the memory reservation; empty if no memory is reserved at the helper.
};

/**
 * \class AttemptParameters
 * \brief What the serving layer adds to a request for one attempt.
 */
struct AttemptParameters {
    UpstreamId upstream; ///< The only upstream that may run the request.
    OrganisationId organisation; ///< Empty for public routes.
    Duration timeLeft{}; ///< Time until the request's deadline.
    std::vector<EngineHelper> helpers; ///< Engines that prefill parts of the prompt.
    std::uint64_t resumeAfter = 0; ///< Id of the event after which the stream continues; 0 starts it from the beginning.
};

}
