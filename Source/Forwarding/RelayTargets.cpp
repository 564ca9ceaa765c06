#include "Forwarding/RelayTargets.h"

#include <algorithm>

namespace Mangofall::Forwarding {

std::vector<HostId> relayTargets(const std::vector<HostId> &hosts, const HostId &self)
{
    std::vector<HostId> targets;
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), self);
    const auto first = static_cast<std::size_t>(next - hosts.begin());
    const std::size_t others = hosts.size() - (std::binary_search(hosts.begin(), hosts.end(), self) ? 1 : 0);
    for (std::size_t distance = 1; distance <= others; distance *= 2) {
        targets.push_back(hosts[(first + distance - 1) % hosts.size()]);
    }
    return targets;
}

}
