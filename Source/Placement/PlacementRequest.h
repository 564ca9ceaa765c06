#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <tuple>
#include <unordered_set>

namespace Mangofall::Placement {

/**
 * \class PlacementRequestId
 * \brief Names one request for a place: the entry host and its counter.
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
 * \class Demand
 * \brief A request that needs a place on an upstream.
 */
struct PlacementRequest {
    PlacementRequestId id;
    ServiceId service;
    DataCentreId dataCentre; ///< Of the entry host.
    std::uint64_t promptTokens = 0; ///< 0 for services without a model.
    std::uint64_t outputTokens = 0;
    Duration target{}; ///< Time until the first piece of the answer that still counts as on time.
    Duration pauseLimit{}; ///< Longest pause between pieces that still counts as on time; zero for whole answers.
    TimePoint arrivedAt; ///< When the caller's request arrived.
    TimePoint deadline;
    std::uint32_t priority = 0; ///< Rank of the request; 0 goes first.
    std::uint64_t fingerprint = 0; ///< Equal for repetitions of the same request.
    std::unordered_set<UpstreamId> excluded; ///< Upstreams that this request has tried.
};

}
