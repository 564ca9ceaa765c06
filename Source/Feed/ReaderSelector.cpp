#include "Feed/ReaderSelector.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Mangofall::Feed {

namespace {

// Each follower needs a second reader in case its first one fails.
constexpr std::size_t minReaders = 2;
constexpr std::string_view rankKey = "store reader";

std::pair<unsigned, std::uint64_t> rank(const FeedHost &host)
{
    return {capacityClass(host.capacity), rendezvousScore(rankKey, host.id.value())};
}

// Weighted rendezvous hashing: the share of the keys for which a host has the highest score is proportional to its link.
double weightedScore(const HostId &self, const FeedHost &reader)
{
    constexpr double range = 18446744073709551616.0; // Number of values of a 64-bit hash.
    const double uniform = (static_cast<double>(rendezvousScore(self.value(), reader.id.value())) + 1) / (range + 2);
    return std::max(1U, reader.capacity.linkMbps) / -std::log(uniform);
}

}

std::vector<FeedHost> selectReaders(const std::vector<FeedHost> &hosts, const ReaderLimits &limits)
{
    if (hosts.size() < limits.minHosts) {
        return {};
    }
    std::vector<FeedHost> ranked = hosts;
    std::sort(ranked.begin(), ranked.end(), [](const FeedHost &left, const FeedHost &right) {
        return rank(left) > rank(right);
    });
    const std::size_t wanted = (hosts.size() + limits.hostsPerReader - 1) / limits.hostsPerReader;
    const std::size_t count = std::min(hosts.size(), std::max(minReaders, wanted));
    ranked.resize(count);
    return ranked;
}

std::vector<HostId> orderReaders(const std::vector<FeedHost> &readers, const HostId &self)
{
    std::vector<std::pair<double, HostId>> scored;
    for (const FeedHost &reader : readers) {
        if (reader.id != self) {
            scored.emplace_back(weightedScore(self, reader), reader.id);
        }
    }
    std::sort(scored.begin(), scored.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    std::vector<HostId> ordered;
    ordered.reserve(scored.size());
    for (const auto &[score, host] : scored) {
        ordered.push_back(host);
    }
    return ordered;
}

}
