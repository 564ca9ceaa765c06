#include "Membership/HeartbeatTraffic.h"

#include <algorithm>

namespace Mangofall::Membership {

namespace {

double perSecond(double bytes, Duration interval)
{
    return bytes / Seconds(interval).count();
}

std::size_t digestSize(const HeartbeatTrafficCounts &shape)
{
    return digestBytes + claimsPerDigest * hostClaimBytes + shape.digestLoadBytes;
}

double watchBytes(const HeartbeatTrafficCounts &shape)
{
    return static_cast<double>(2 * shape.watchers * (messageOverheadBytes + heartbeatBytes));
}

double linkBytes(const HeartbeatTrafficCounts &shape)
{
    return static_cast<double>((shape.linksOut + shape.linksIn) * (messageOverheadBytes + digestSize(shape)));
}

}

double meshRoundBytes(const HeartbeatTrafficCounts &shape)
{
    const std::size_t peers = shape.hosts - 1;
    const std::size_t heartbeats = 2 * peers * (messageOverheadBytes + heartbeatBytes + shape.loadBytes);
    const std::size_t relayed = (peers * shape.linksIn + shape.dataCentreLinksIn) * digestSize(shape);
    return static_cast<double>(heartbeats + relayed);
}

double bytesPerSecond(const HeartbeatTrafficCounts &shape, Duration watchInterval, Duration meshInterval, Duration linkInterval)
{
    return perSecond(watchBytes(shape), watchInterval) + perSecond(meshRoundBytes(shape), meshInterval) + perSecond(linkBytes(shape), linkInterval);
}

Duration meshIntervalWithin(double budget, const HeartbeatTrafficCounts &shape, Duration watchInterval, Duration linkInterval)
{
    constexpr double leastMeshBudget = 100; // B/s; keeps the interval finite if the other messages use up the budget
    const double rest = budget - perSecond(watchBytes(shape), watchInterval);
    const Seconds together((meshRoundBytes(shape) + linkBytes(shape)) / std::max(rest, leastMeshBudget));
    const Seconds apart(meshRoundBytes(shape) / std::max(rest - perSecond(linkBytes(shape), linkInterval), leastMeshBudget));
    const Seconds interval = together <= Seconds(linkInterval) ? together : apart;
    return std::max(watchInterval, toDuration(interval) + Duration(1));
}

}
