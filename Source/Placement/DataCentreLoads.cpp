#include "Placement/DataCentreLoads.h"

#include "Placement/DataCentreOutages.h"
#include "Placement/UpstreamLoad.h"

#include <algorithm>

namespace Mangofall::Placement {

DataCentreTraffic::Loads dataCentreLoads(const std::vector<UpstreamLoad *> &upstreams, std::uint32_t slotLimit, const DataCentreOutages &outages, TimePoint now)
{
    DataCentreTraffic::Loads loads;
    std::map<DataCentreId, Duration::rep> counts;
    for (const UpstreamLoad *upstream : upstreams) {
        const DataCentreId &dataCentre = upstream->entry().dataCentre;
        DataCentreLoad &load = loads[dataCentre];
        const bool reachable = !outages.suspected(dataCentre, now);
        load.hasUpstream = load.hasUpstream || reachable;
        load.slots += reachable && upstream->keepsColdLimit(now) ? std::min(upstream->entry().slots, slotLimit) : 0;
        load.requests += upstream->requests() + upstream->unknownLoad().requests(now);
        load.backlog += upstream->prefillBacklog(now, Duration::zero());
        ++counts[dataCentre];
    }
    for (auto &[dataCentre, load] : loads) {
        load.backlog /= counts[dataCentre];
    }
    return loads;
}

}
