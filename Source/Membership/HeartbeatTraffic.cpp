#include "Membership/HeartbeatTraffic.h"

#include <algorithm>

namespace Mangofall::Membership {

namespace {

double perSecond(double bytes, Duration interval)
{
    return bytes / Seconds(interval).count();
}

std::size_t digestSize(const HeartbeatTrafficCounts &counts)
{
    return digestBytes + claimsPerDigest * hostClaimBytes + counts.digestLoadBytes;
}

double watchBytes(const HeartbeatTrafficCounts &counts)
{
    return static_cast<double>(2 * counts.watchers * (messageOverheadBytes + heartbeatBytes));
}

double linkBytes(const HeartbeatTrafficCounts &counts)
{
    return static_cast<double>((counts.linksOut + counts.linksIn) * (messageOverheadBytes + digestSize(counts)));
}

}

double meshRoundBytes(const HeartbeatTrafficCounts &counts)
{
    const std::size_t peers = counts.hosts - 1;
    const std::size_t heartbeats = 2 * peers * (messageOverheadBytes + heartbeatBytes + counts.loadBytes);
    const std::size_t relayed = (peers * counts.linksIn + counts.dataCentreLinksIn) * digestSize(counts);
    return static_cast<double>(heartbeats + relayed);
}

double bytesPerSecond(const HeartbeatTrafficCounts &counts, Duration watchInterval, Duration meshInterval, Duration linkInterval)
{
    return perSecond(watchBytes(counts), watchInterval) + perSecond(meshRoundBytes(counts), meshInterval) + perSecond(linkBytes(counts), linkInterval);
}

Duration meshIntervalWithin(double budget, const HeartbeatTrafficCounts &counts, Duration watchInterval, Duration linkInterval)
{
    constexpr double minMeshBudget = 100; // B/s; keeps the interval finite if the other messages use the whole budget
    const double remainingBudget = budget - perSecond(watchBytes(counts), watchInterval);
    const Seconds withLinksPerRound((meshRoundBytes(counts) + linkBytes(counts)) / std::max(remainingBudget, minMeshBudget));
    const Seconds withLinksAtLinkInterval(meshRoundBytes(counts) / std::max(remainingBudget - perSecond(linkBytes(counts), linkInterval), minMeshBudget));
    const Seconds interval = withLinksPerRound <= Seconds(linkInterval) ? withLinksPerRound : withLinksAtLinkInterval;
    return std::max(watchInterval, toDuration(interval) + Duration(1));
}

}
