#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class CallerRequest
 * \brief The fields of a caller's request that forwarding uses, decoded from the request header.
 */
struct CallerRequest {
    RequestId id; ///< Identifies the caller's message; a request that the caller repeats has another id. Answers carry it.
    std::string hostName;
    std::string path; ///< Path of the request target, without the query.
    std::optional<Duration> callerTimeout; ///< Time that the caller waits for the answer, counted from the arrival of the request.
    std::optional<std::string> credential;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::vector<std::string> sharedPromptParts; ///< Ids of the parts of the prompt that other requests may share, in their order.
    std::uint64_t lastEventId = 0; ///< Id of the last stream event that the caller has received; 0 if none.
};

}
