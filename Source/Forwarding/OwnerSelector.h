#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class OwnerSelector
 * \brief Selects the owner of a service: the live host with the highest rendezvous score.
 *
 * A host that does not answer is skipped for a while. Each entry host that gets no answer from it then selects the same next host.
 */
class OwnerSelector
{
public:
    explicit OwnerSelector(HostId self);

    /// Sets the live hosts; this host counts as live even if it is not among them.
    void setHosts(std::vector<HostId> hosts);
    const std::vector<HostId> &hosts() const;

    /// Skips a host for a while, because it did not answer.
    void markUnresponsive(const HostId &host, TimePoint now);
    /// Stops skipping a host, because it has answered.
    void markResponsive(const HostId &host);

    HostId owner(const ServiceId &service, TimePoint now) const;

private:
    HostId m_self;
    std::vector<HostId> m_hosts;
    std::map<HostId, TimePoint> m_skippedUntil;
};

}
