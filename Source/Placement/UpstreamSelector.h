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
 * \brief The upstreams chosen for one placement request.
 */
struct Selection {
    UpstreamLoad *primary = nullptr;
    std::vector<UpstreamLoad *> helpers;
    std::vector<std::uint64_t> helperMemory; ///< Prompt tokens that each helper stores, in the order of the helpers; empty if none does.
    Duration partPrefillTime{}; ///< Prefill time of each of the upstreams.
    Duration firstEventEstimate{}; ///< Expected time until the first event of the answer; zero if unknown.
};

/**
 * \class UpstreamSelector
 * \brief Chooses the upstreams for a placement request among those that may run it.
 */
class UpstreamSelector
{
public:
    using Candidates = std::vector<UpstreamLoad *>;

    UpstreamSelector() = default;
    UpstreamSelector(const UpstreamSelector &) = delete;
    UpstreamSelector &operator=(const UpstreamSelector &) = delete;
    virtual ~UpstreamSelector() = default;

    /// Chooses among the candidates; returns nothing if waiting is better than any of them.
    virtual std::optional<Selection> select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const = 0;

    /// Chooses all of \p candidates, which are reserved for the request; returns nothing if it cannot start on them yet or if the first event would not
    /// come within \p acceptable.
    virtual std::optional<Selection>
    selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration acceptable, TimePoint now) const = 0;

    /// The least time between a grant and the end of the answer. With less time left, the request cannot be served by its deadline.
    virtual Duration leastServiceTime(const PlacementRequest &request) const = 0;

    /// The prefill time of each upstream if \p parts upstreams share the prefill for the request.
    virtual Duration partPrefillTime(const PlacementRequest &request, std::uint32_t parts) const = 0;

    /// The work of the request: the upstream time that it takes altogether. Zero if unknown.
    virtual Duration workOf(const PlacementRequest &request) const = 0;

    /// Returns whether the request occupies so many upstreams for so long that it is placed only at low load, when nothing else waits, or on upstreams that
    /// are reserved for such requests.
    virtual bool needsLowLoad(const PlacementRequest &request) const = 0;

    /// The latest time of a grant that can still bring the first event within the target.
    virtual TimePoint latestStart(const PlacementRequest &request) const = 0;
};

}
