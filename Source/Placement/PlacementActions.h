#pragma once

#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Placement/PlacementRequest.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class Assignment
 * \brief The upstream that runs a request and the engines that help with the prefill of its prompt.
 */
struct Assignment {
    UpstreamId upstream;
    NetworkAddress address;
    std::vector<UpstreamId> helpers;
    std::vector<NetworkAddress> helperAddresses;
    std::vector<std::uint64_t> helperMemory; ///< Prompt tokens for which each helper must reserve memory, in the order of the helpers; empty if none must.
    std::uint64_t upstreamStart = 0; ///< Tells the assigned process of the upstream from others with the same id; 0 if unknown.
    bool crashTrial = false; ///< Whether the request is suspected of crashing upstreams and is granted to test that.
    Duration firstEventEstimate{}; ///< Expected time until the first event of the answer; zero if unknown.
};

/// The owner's positive answer to a placement request.
struct Grant {
    PlacementRequestId id;
    Assignment assignment;
};

/// The owner's negative answer to a placement request. The request was not sent to any upstream.
struct Refusal {
    PlacementRequestId id;
    ErrorKind kind = ErrorKind::NoUpstream;
    Duration retryAfter{};
};

/// The time after which a caller may repeat a request that is held back for \p wait.
Duration quarantineRetryAfter(Duration wait);

using PlacementAction = std::variant<Grant, Refusal>;
using PlacementActions = std::vector<PlacementAction>;

}
