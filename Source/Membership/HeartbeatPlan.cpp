#include "Membership/HeartbeatPlan.h"

#include "Base/Hash.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace Mangofall::Membership {

namespace {

std::string linkKey(const DataCentreId &from, const DataCentreId &to, std::size_t index)
{
    return "link/" + from.value() + '/' + to.value() + '/' + std::to_string(index);
}

template<class Id>
std::size_t countOf(const std::map<Id, std::size_t> &counts, const Id &id)
{
    const auto found = counts.find(id);
    return found == counts.end() ? 0 : found->second;
}

std::size_t ceilDivide(std::size_t value, std::size_t divisor)
{
    return (value + divisor - 1) / divisor;
}

}

HeartbeatPlan::HeartbeatPlan(const std::vector<PlannedHost> &hosts, HeartbeatPlanSettings settings)
    : m_settings(settings)
{
    for (const PlannedHost &planned : hosts) {
        if (m_dataCentreOf.emplace(planned.host, planned.dataCentre).second) {
            m_rings[planned.dataCentre].push_back(planned.host);
        }
    }
    for (auto &[dataCentre, ring] : m_rings) {
        std::sort(ring.begin(), ring.end(), [](const HostId &left, const HostId &right) {
            return std::pair(hash64(left.value()), left) < std::pair(hash64(right.value()), right);
        });
    }
    planLinks();
}

std::vector<HostId> HeartbeatPlan::meshTargets(const HostId &host) const
{
    std::vector<HostId> targets = ringOf(host);
    std::erase(targets, host);
    return targets;
}

std::set<HostId> HeartbeatPlan::watchersOf(const HostId &host) const
{
    const Ring &ring = ringOf(host);
    const auto position = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), host) - ring.begin());
    std::set<HostId> watchers;
    for (std::size_t distance = 1; distance <= watcherCount(ring); ++distance) {
        watchers.insert(ring[(position + distance) % ring.size()]);
    }
    return watchers;
}

std::set<HostId> HeartbeatPlan::watchedBy(const HostId &host) const
{
    const Ring &ring = ringOf(host);
    const auto position = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), host) - ring.begin());
    std::set<HostId> watched;
    for (std::size_t distance = 1; distance <= watcherCount(ring); ++distance) {
        watched.insert(ring[(position + ring.size() - distance) % ring.size()]);
    }
    return watched;
}

std::vector<DataCentreLink> HeartbeatPlan::linksFrom(const HostId &host) const
{
    std::vector<DataCentreLink> links;
    std::copy_if(m_links.begin(), m_links.end(), std::back_inserter(links), [&](const DataCentreLink &link) {
        return link.from == host;
    });
    return links;
}

const std::vector<DataCentreLink> &HeartbeatPlan::links() const
{
    return m_links;
}

HeartbeatTrafficCounts HeartbeatPlan::trafficCountsOf(const HostId &host) const
{
    const Ring &ring = ringOf(host);
    const DataCentreId &dataCentre = m_dataCentreOf.at(host);
    return {.hosts = ring.size(),
            .watchers = watcherCount(ring),
            .linksOut = countOf(m_linksOut, host),
            .linksIn = countOf(m_linksIn, host),
            .dataCentreLinksIn = countOf(m_dataCentreLinksIn, dataCentre),
            .loadBytes = m_settings.loadBytes,
            .digestLoadBytes = m_settings.digestLoadBytes};
}

Duration HeartbeatPlan::watchInterval() const
{
    return m_settings.watchInterval;
}

Duration HeartbeatPlan::meshInterval(const HostId &host) const
{
    const Ring &ring = ringOf(host);
    HeartbeatTrafficCounts trafficCounts = trafficCountsOf(host);
    for (const HostId &other : ring) {
        trafficCounts.linksOut = std::max(trafficCounts.linksOut, countOf(m_linksOut, other));
        trafficCounts.linksIn = std::max(trafficCounts.linksIn, countOf(m_linksIn, other));
    }
    return meshIntervalWithin(m_settings.budget, trafficCounts, m_settings.watchInterval, m_settings.linkInterval);
}

Duration HeartbeatPlan::linkInterval(const HostId &host) const
{
    return std::min<Duration>(m_settings.linkInterval, meshInterval(host));
}

double HeartbeatPlan::trafficOf(const HostId &host) const
{
    return bytesPerSecond(trafficCountsOf(host), watchInterval(), meshInterval(host), linkInterval(host));
}

const HeartbeatPlan::Ring &HeartbeatPlan::ringOf(const HostId &host) const
{
    return m_rings.at(m_dataCentreOf.at(host));
}

std::size_t HeartbeatPlan::watcherCount(const Ring &ring) const
{
    return std::min(m_settings.watchers, ring.size() - 1);
}

void HeartbeatPlan::planLinks()
{
    std::map<std::string, DataCentreLink> links;
    for (const auto &[dataCentre, ring] : m_rings) {
        std::vector<std::string> outgoing;
        std::vector<std::string> incoming;
        for (const auto &[other, otherRing] : m_rings) {
            for (std::size_t index = 0; other != dataCentre && index < m_settings.linksPerPair; ++index) {
                outgoing.push_back(linkKey(dataCentre, other, index));
                incoming.push_back(linkKey(other, dataCentre, index));
                links[outgoing.back()].fromDataCentre = dataCentre;
                links[incoming.back()].toDataCentre = dataCentre;
            }
        }
        const std::vector<HostId> senders = assignHosts(ring, outgoing);
        const std::vector<HostId> receivers = assignHosts(ring, incoming);
        for (std::size_t index = 0; index < outgoing.size(); ++index) {
            links[outgoing[index]].from = senders[index];
            links[incoming[index]].to = receivers[index];
        }
    }
    for (auto &[key, link] : links) {
        m_links.push_back(std::move(link));
    }
    // Two links of a pair of data centres may connect the same two hosts if each of the two has a single host; the duplicate is removed.
    std::sort(m_links.begin(), m_links.end(), [](const DataCentreLink &left, const DataCentreLink &right) {
        return std::tie(left.from, left.to) < std::tie(right.from, right.to);
    });
    m_links.erase(std::unique(m_links.begin(), m_links.end()), m_links.end());
    for (const DataCentreLink &link : m_links) {
        ++m_linksOut[link.from];
        ++m_linksIn[link.to];
        ++m_dataCentreLinksIn[link.toDataCentre];
    }
}

std::vector<HostId> HeartbeatPlan::assignHosts(const Ring &ring, const std::vector<std::string> &keys) const
{
    const std::size_t limit = ceilDivide(keys.size(), ring.size());
    std::map<HostId, std::size_t> counts;
    std::vector<HostId> chosen;
    for (std::size_t index = 0; index < keys.size(); ++index) {
        // The keys of one pair's links are adjacent. These links use different hosts if the ring has several.
        const bool repeated = index % m_settings.linksPerPair != 0 && ring.size() > 1;
        const HostId previous = repeated ? chosen.back() : HostId();
        const HostId *best = nullptr;
        std::pair<std::size_t, std::uint64_t> bestRank;
        for (const HostId &host : ring) {
            // A host at its limit is chosen only if the sole host below its limit is the previous one.
            const std::size_t excess = counts[host] >= limit ? 1 : 0;
            const std::pair rank{std::size_t{1} - excess, rendezvousScore(keys[index], host.value())};
            if (host != previous && (best == nullptr || rank > bestRank)) {
                best = &host;
                bestRank = rank;
            }
        }
        ++counts[*best];
        chosen.push_back(*best);
    }
    return chosen;
}

}
