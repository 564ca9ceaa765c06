#include "Base/HostCapacity.h"

#include <algorithm>
#include <bit>

namespace Mangofall {

// The scarcer of the two resources counts. A tenth of a core handles about as many messages as a link of 10 Mbit/s carries.
unsigned capacityClass(const HostCapacity &capacity)
{
    return static_cast<unsigned>(std::min(std::bit_width(capacity.linkMbps), std::bit_width(capacity.processorPercent)));
}

}
