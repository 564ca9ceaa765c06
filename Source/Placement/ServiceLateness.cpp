#include "Placement/ServiceLateness.h"

#include "Placement/UpstreamLoad.h"

namespace Mangofall::Placement {

void updateSlowness(const std::vector<UpstreamLoad *> &upstreams, TimePoint now)
{
    std::vector<double> factors;
    factors.reserve(upstreams.size());
    for (const UpstreamLoad *load : upstreams) {
        factors.push_back(load->lateness().factor(now));
    }
    for (UpstreamLoad *load : upstreams) {
        const double factor = load->lateness().factor(now);
        load->setSlowness(factor > 1 ? relativeFactor(factor, factors) : 1);
    }
}

}
