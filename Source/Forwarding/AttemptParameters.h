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
 * \brief An engine that reads part of a prompt, and the memory that is set aside there.
 */
struct EngineHelper {
    NetworkAddress address;
    std::string reservationName; ///< Empty if the helper stores nothing.
};

/**
 * \class AttemptParameters
 * \brief What the serving layer adds to a request when it sends it to an upstream.
 */
struct AttemptParameters {
    UpstreamId upstream; ///< Only this one may run the request.
    OrganisationId organisation; ///< Empty for public routes.
    Duration timeLeft{};
    std::vector<EngineHelper> helpers; ///< Engines that read parts of the prompt.
    std::uint64_t resumeAfter = 0; ///< The stream goes on after this event; 0 starts it.
};

}
