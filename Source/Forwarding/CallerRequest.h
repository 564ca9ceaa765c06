#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Mangofall::Forwarding {

/**
 * \class CallerRequest
 * \brief What the entry host needs to know of a caller's request, decoded from its header.
 */
struct CallerRequest {
    RequestId id; ///< Of this attempt of the caller; answers name it.
    std::string hostName;
    std::string path; ///< Without the query.
    std::optional<Duration> callerTimeout; ///< How long the caller waits from the arrival of the request.
    std::optional<std::string> credential;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t lastEventId = 0; ///< The caller has the events up to this one; 0 if none.
};

}
