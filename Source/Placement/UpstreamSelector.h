#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Mangofall::Placement {

struct PlacementRequest;
class UpstreamLoad;

/**
 * \class Selection
 * \brief The upstreams chosen for one demand.
 */
struct Selection {
    UpstreamLoad *primary = nullptr;
    std::vector<UpstreamLoad *> helpers;
    std::vector<std::uint64_t> helperMemory; ///< Prompt tokens that each helper stores, in the order of the helpers; empty if none does.
    Duration partPrefillTime{}; ///< Time that each of them reads.
    Duration firstEventEstimate{}; ///< Zero if unknown.
};

/**
 * \class UpstreamSelector
 * \brief Chooses the upstreams for a demand from those that may take it, or none if waiting is better.
 */
class UpstreamSelector
{
public:
    using Candidates = std::vector<UpstreamLoad *>;

    UpstreamSelector() = default;
    UpstreamSelector(const UpstreamSelector &) = delete;
    UpstreamSelector &operator=(const UpstreamSelector &) = delete;
    virtual ~UpstreamSelector() = default;

    virtual std::optional<Selection> select(const PlacementRequest &placementRequest, const Candidates &candidates, TimePoint now) const = 0;

    /// The least time between a grant and the end of the answer; with less time left the demand cannot be served.
    virtual Duration leastServiceTime(const PlacementRequest &placementRequest) const = 0;

    /// Time that each of \p parts upstreams reads for the demand.
    virtual Duration partPrefillTime(const PlacementRequest &placementRequest, std::uint32_t parts) const = 0;

    /// The time of one upstream that the demand takes altogether; zero if unknown.
    virtual Duration workOf(const PlacementRequest &placementRequest) const = 0;

    /// Whether the demand takes so many upstreams for so long that it gets them only when nothing else waits.
    virtual bool needsCalm(const PlacementRequest &placementRequest) const = 0;

    /// Until when a grant can still bring the first piece in time.
    virtual TimePoint latestStart(const PlacementRequest &placementRequest) const = 0;
};

}
