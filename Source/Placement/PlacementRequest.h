#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/SuspectState.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class PlacementRequestId
 * \brief Identifies a placement request: the entry host that made it and a number that this host assigned.
 */
struct PlacementRequestId {
    HostId host;
    std::uint64_t number = 0;

    friend bool operator==(const PlacementRequestId &, const PlacementRequestId &) = default;

    friend bool operator<(const PlacementRequestId &left, const PlacementRequestId &right)
    {
        return std::tie(left.host, left.number) < std::tie(right.host, right.number);
    }
};

/**
 * \class PlacementRequest
 * \brief A host's request for an upstream, sent to the owner of the service.
 */
struct PlacementRequest {
    PlacementRequestId id;
    ServiceId service;
    DataCentreId dataCentre; ///< The entry host's data centre.
    std::uint64_t promptTokens = 0; ///< 0 for services without a model.
    std::uint64_t outputTokens = 0;
    std::uint64_t requestBytes = 0;
    std::uint64_t answerBytes = 0; ///< Expected; 0 if unknown.
    Duration target{}; ///< Longest time from the arrival to the first event of the answer that counts as on time.
    Duration pauseLimit{}; ///< Longest pause between events that counts as on time; zero for answers without a stream.
    TimePoint arrivedAt; ///< When the caller's request arrived.
    TimePoint deadline;
    std::uint32_t priority = 0; ///< Requests with a lower value are placed first.
    std::uint64_t fingerprint = 0; ///< Equal for repetitions of the same request; 0 if unknown.
    std::vector<SuspectId> sharedParts; ///< Parts of the prompt that other requests may share.
    std::unordered_set<UpstreamId> excluded; ///< Upstreams that earlier attempts of the request used.
    Duration useDelay{}; ///< A grant is used within this time, and the host says when it has it; zero if it is used at once.
    bool firstAttempt = false; ///< Whether this is the first placement request of a caller's request.
    bool borrowsRetry = false; ///< Whether the entry host has no retry left and asks the owner for one.
};

/// What may be the cause if an upstream crashes while it runs the request: a part of the prompt, or the request as a whole. In ascending order.
inline std::vector<SuspectId> suspectsOf(std::vector<SuspectId> sharedParts, SuspectId fingerprint)
{
    // A peer of another version might send the parts in another order.
    if (!std::is_sorted(sharedParts.begin(), sharedParts.end())) {
        std::sort(sharedParts.begin(), sharedParts.end());
    }
    if (fingerprint != 0) {
        sharedParts.insert(std::lower_bound(sharedParts.begin(), sharedParts.end(), fingerprint), fingerprint);
    }
    return sharedParts;
}

inline std::vector<SuspectId> suspectsOf(const PlacementRequest &request)
{
    return suspectsOf(request.sharedParts, request.fingerprint);
}

}
