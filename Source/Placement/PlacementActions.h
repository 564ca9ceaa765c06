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
 * \class Place
 * \brief Where a request runs: its upstream and the engines that help to read its prompt.
 */
struct Assignment {
    UpstreamId upstream;
    NetworkAddress address;
    std::vector<UpstreamId> helpers;
    std::vector<NetworkAddress> helperAddresses;
    std::vector<std::uint64_t> helperMemory; ///< Prompt tokens that each helper must reserve memory for; empty if none.
    Duration firstEventEstimate{}; ///< Expected time until the first piece of the answer; zero if unknown.
};

struct Grant {
    PlacementRequestId id;
    Assignment assignment;
};

/// The request gets no place and was not sent anywhere.
struct Refusal {
    PlacementRequestId id;
    ErrorKind kind = ErrorKind::NoUpstream;
    Duration retryAfter{};
};

using PlacementAction = std::variant<Grant, Refusal>;
using PlacementActions = std::vector<PlacementAction>;

}
