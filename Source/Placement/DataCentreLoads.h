#pragma once

#include "Base/Time.h"
#include "Placement/DataCentreTraffic.h"

#include <cstdint>
#include <vector>

namespace Mangofall::Placement {

class DataCentreOutages;
class UpstreamLoad;

/// The load of each data centre that has one of the \p upstreams of a service, which accept requests. Upstreams of suspected data centres, and cold ones that
/// take no further request now, have no slots. No upstream has more than \p slotLimit slots.
DataCentreTraffic::Loads
dataCentreLoads(const std::vector<UpstreamLoad *> &upstreams, std::uint32_t slotLimit, const DataCentreOutages &outages, TimePoint now);

}
