#include "Placement/SlotSelector.h"

#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Mangofall::Placement {

namespace {

// Costs are measured in shares of an upstream's slots.
constexpr double otherDataCentreCost = 0.1; // Unless the deployment decides by cost (DataCentreTraffic).
constexpr std::chrono::milliseconds leastTime{5};

double cost(const UpstreamLoad &load, std::uint32_t requests, TimePoint now)
{
    double total = static_cast<double>(requests) / std::max(load.entry().slots, 1U);
    total += load.failures().cost(now);
    return total;
}

}

SlotSelector::SlotSelector(std::shared_ptr<const DistanceCost> distance)
    : m_distance(distance ? std::move(distance) : std::make_shared<ConstantDistanceCost>(otherDataCentreCost))
{
}

std::optional<Selection> SlotSelector::select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const
{
    UpstreamLoad *best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (UpstreamLoad *load : candidates) {
        const std::uint32_t requests = load->requests() + load->unknownLoad().requests(now);
        if (requests >= load->entry().slots) {
            continue;
        }
        const double candidateCost = cost(*load, requests, now) + m_distance->of(request, load->entry());
        if (candidateCost < lowest) {
            lowest = candidateCost;
            best = load;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Selection{best, {}, {}, {}, {}};
}

std::optional<Selection> SlotSelector::selectReserved(const PlacementRequest &request, const Candidates &candidates, Duration, TimePoint now) const
{
    return select(request, candidates, now);
}

Duration SlotSelector::leastServiceTime(const PlacementRequest &) const
{
    return leastTime;
}

Duration SlotSelector::partPrefillTime(const PlacementRequest &, std::uint32_t) const
{
    return Duration::zero();
}

Duration SlotSelector::workOf(const PlacementRequest &) const
{
    return Duration::zero();
}

bool SlotSelector::needsLowLoad(const PlacementRequest &) const
{
    return false;
}

TimePoint SlotSelector::latestStart(const PlacementRequest &request) const
{
    return request.arrivedAt + request.target;
}

}
