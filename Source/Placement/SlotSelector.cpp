#include "Placement/SlotSelector.h"

#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <limits>

namespace Mangofall::Placement {

namespace {

// Costs are measured in shares of an upstream's slots.
constexpr double otherDataCentreCost = 0.1;
constexpr std::chrono::milliseconds leastTime{5};

double cost(const PlacementRequest &request, const UpstreamLoad &load, TimePoint now)
{
    double total = static_cast<double>(load.requests()) / std::max(load.entry().slots, 1U);
    total += load.failures().cost(now);
    total += load.entry().dataCentre == request.dataCentre ? 0 : otherDataCentreCost;
    return total;
}

}

std::optional<Selection> SlotSelector::select(const PlacementRequest &request, const Candidates &candidates, TimePoint now) const
{
    UpstreamLoad *best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (UpstreamLoad *load : candidates) {
        if (load->requests() >= load->entry().slots) {
            continue;
        }
        const double candidateCost = cost(request, *load, now);
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
