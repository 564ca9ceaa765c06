#include "Routing/UpstreamChooser.h"

#include "Routing/EstimatedFirstTokenChooser.h"
#include "Routing/LeastInFlightChooser.h"
#include "Routing/RoundRobinChooser.h"

namespace Mangofall {

std::unique_ptr<UpstreamChooser> makeUpstreamChooser(const Preset &preset, const FirstTokenEstimator &estimator)
{
    switch (preset.routing) {
    case RoutingPolicy::RoundRobin:
        return std::make_unique<RoundRobinChooser>();
    case RoutingPolicy::LeastInFlight:
        return std::make_unique<LeastInFlightChooser>();
    case RoutingPolicy::EstimatedFirstToken:
        break;
    }
    return std::make_unique<EstimatedFirstTokenChooser>(estimator, preset.choices, preset.shortWeight);
}

}
