#include "Forwarding/OwnerSelector.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

constexpr std::chrono::milliseconds probeInterval{500};
// A host that answers probes later than this would answer placement requests too late as well.
constexpr std::chrono::milliseconds maxProbeTime{100};

}

OwnerSelector::OwnerSelector(HostId self)
    : m_self(self)
{
    m_hosts.push_back({std::move(self), 0, 0});
}

void OwnerSelector::setHosts(const std::vector<FleetHost> &hosts)
{
    std::map<HostId, std::uint64_t> formerStarts;
    for (const Candidate &host : m_hosts) {
        formerStarts[host.id] = host.start;
    }
    m_hosts.clear();
    bool selfListed = false;
    for (const FleetHost &host : hosts) {
        if (!host.leaving) {
            m_hosts.push_back({host.id, capacityClass(host.capacity), host.start});
        }
        selfListed = selfListed || host.id == m_self;
        const auto former = formerStarts.find(host.id);
        if (former == formerStarts.end() || former->second != host.start) {
            m_skipped.erase(host.id);
        }
    }
    if (!selfListed) {
        m_hosts.push_back({m_self, 0, 0});
    }
    std::erase_if(m_skipped, [&](const auto &entry) {
        return std::none_of(m_hosts.begin(), m_hosts.end(), [&](const Candidate &host) {
            return host.id == entry.first;
        });
    });
}

void OwnerSelector::markUnresponsive(const HostId &host, TimePoint now)
{
    if (host != m_self) {
        m_skipped.try_emplace(host, Skipped{now + probeInterval, now, std::nullopt});
    }
}

void OwnerSelector::markResponsive(const HostId &host)
{
    const auto skipped = m_skipped.find(host);
    if (skipped != m_skipped.end() && !skipped->second.declinedUntil) {
        m_skipped.erase(skipped);
    }
}

void OwnerSelector::markDeclined(const HostId &host, TimePoint until)
{
    m_skipped[host].declinedUntil = until;
}

void OwnerSelector::expireDeclines(TimePoint now)
{
    std::erase_if(m_skipped, [now](const auto &entry) {
        return entry.second.declinedUntil && now >= *entry.second.declinedUntil;
    });
}

bool OwnerSelector::isSkipped(const HostId &host) const
{
    return m_skipped.contains(host);
}

bool OwnerSelector::isUnresponsive(const HostId &host) const
{
    const auto skipped = m_skipped.find(host);
    return skipped != m_skipped.end() && !skipped->second.declinedUntil;
}

bool OwnerSelector::skipsAny() const
{
    return !m_skipped.empty();
}

std::vector<HostId> OwnerSelector::takeDueProbes(TimePoint now)
{
    std::vector<HostId> due;
    for (auto &[host, skipped] : m_skipped) {
        if (!skipped.declinedUntil && now >= skipped.nextProbe) {
            skipped.probedAt = now;
            skipped.nextProbe = now + probeInterval;
            due.push_back(host);
        }
    }
    return due;
}

void OwnerSelector::probeAnswered(const HostId &host, TimePoint now)
{
    const auto skipped = m_skipped.find(host);
    if (skipped != m_skipped.end() && !skipped->second.declinedUntil && now <= skipped->second.probedAt + maxProbeTime) {
        m_skipped.erase(skipped);
    }
}

HostId OwnerSelector::owner(const ServiceId &service) const
{
    HostId best = m_self;
    std::pair<unsigned, std::uint64_t> highest{0, 0};
    for (const Candidate &host : m_hosts) {
        if (m_skipped.contains(host.id)) {
            continue;
        }
        const std::pair rank(host.capacityClass, rendezvousScore(service.value(), host.id.value()));
        if (rank > highest) {
            highest = rank;
            best = host.id;
        }
    }
    return best;
}

}
