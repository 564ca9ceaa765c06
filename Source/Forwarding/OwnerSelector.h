#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <map>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class OwnerSelector
 * \brief Chooses the host that places the requests of a service: the live host with the highest rendezvous score.
 *
 * A host that does not answer is passed over for a while, so that the next one takes its place at all entry hosts that miss it.
 */
class OwnerSelector
{
public:
    explicit OwnerSelector(HostId self);

    /// The live hosts; this host counts as live even if it is not among them.
    void setHosts(std::vector<HostId> hosts);
    const std::vector<HostId> &hosts() const;

    void unanswered(const HostId &host, TimePoint now);
    void answered(const HostId &host);

    HostId owner(const ServiceId &service, TimePoint now) const;

private:
    HostId m_self;
    std::vector<HostId> m_hosts;
    std::map<HostId, TimePoint> m_passedOverUntil;
};

}
