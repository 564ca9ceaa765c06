#pragma once

#include "Base/Time.h"

#include <vector>

namespace Mangofall::Placement {

class UpstreamLoad;

/// Sets the factor on the estimates of each upstream of a service from its lateness, compared with that of the others.
void updateSlowness(const std::vector<UpstreamLoad *> &upstreams, TimePoint now);

}
