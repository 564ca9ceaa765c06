#include "Placement/DistanceCost.h"

#include "Placement/PlacementRequest.h"
#include "Placement/UpstreamEntry.h"

namespace Mangofall::Placement {

ConstantDistanceCost::ConstantDistanceCost(double cost)
    : m_cost(cost)
{
}

double ConstantDistanceCost::of(const PlacementRequest &request, const UpstreamEntry &upstream) const
{
    return upstream.dataCentre == request.dataCentre ? 0 : m_cost;
}

}
