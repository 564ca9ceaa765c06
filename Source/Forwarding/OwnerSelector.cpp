#include "Forwarding/OwnerSelector.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Long enough that later requests do not each wait for the same silent host again.
constexpr std::chrono::milliseconds skipTime{1500};

}

OwnerSelector::OwnerSelector(HostId self)
    : m_self(self)
    , m_hosts{std::move(self)}
{
}

void OwnerSelector::setHosts(std::vector<HostId> hosts)
{
    m_hosts = std::move(hosts);
    if (std::find(m_hosts.begin(), m_hosts.end(), m_self) == m_hosts.end()) {
        m_hosts.push_back(m_self);
    }
}

const std::vector<HostId> &OwnerSelector::hosts() const
{
    return m_hosts;
}

void OwnerSelector::markUnresponsive(const HostId &host, TimePoint now)
{
    m_skippedUntil[host] = now + skipTime;
}

void OwnerSelector::markResponsive(const HostId &host)
{
    m_skippedUntil.erase(host);
}

HostId OwnerSelector::owner(const ServiceId &service, TimePoint now) const
{
    HostId best = m_self;
    std::uint64_t highest = rendezvousScore(service.value(), m_self.value());
    for (const HostId &host : m_hosts) {
        const auto skipped = m_skippedUntil.find(host);
        if (skipped != m_skippedUntil.end() && now < skipped->second) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(service.value(), host.value());
        if (score > highest) {
            highest = score;
            best = host;
        }
    }
    return best;
}

}
