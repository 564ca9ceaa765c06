#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Forwarding/FleetHost.h"

#include <map>
#include <optional>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class OwnerSelector
 * \brief Selects the owner of a service: of the live hosts with the largest capacity, the one with the highest rendezvous score.
 *
 * A host that has declined is skipped for the time that it said. A host that does not answer is skipped until it answers a probe in time, so that no further
 * request waits for it. Each entry host that gets no answer from it then selects the same next host.
 */
class OwnerSelector
{
public:
    explicit OwnerSelector(HostId self);

    /// Sets the live hosts; this host counts as live even if it is not among them. Those that leave are no candidates. A host that has restarted is no longer
    /// skipped.
    void setHosts(const std::vector<FleetHost> &hosts);

    /// Skips a host, because it did not answer.
    void markUnresponsive(const HostId &host, TimePoint now);
    /// Stops skipping a host that did not answer, because it has answered in time.
    void markResponsive(const HostId &host);
    /// Skips a host until \p until, because it has declined to place requests. This host may be named as well.
    void markDeclined(const HostId &host, TimePoint until);
    /// Stops skipping the hosts whose time after a decline has passed.
    void expireDeclines(TimePoint now);
    bool isSkipped(const HostId &host) const;
    /// Whether the host is skipped because it did not answer.
    bool isUnresponsive(const HostId &host) const;
    bool skipsAny() const;

    /// The skipped hosts that are to be probed at \p now. Each is returned again after an interval.
    std::vector<HostId> takeDueProbes(TimePoint now);
    /// Records the answer of a probe; the host is no longer skipped if it answered in time.
    void probeAnswered(const HostId &host, TimePoint now);

    HostId owner(const ServiceId &service) const;

private:
    struct Candidate {
        HostId id;
        unsigned capacityClass = 0;
        std::uint64_t start = 0;
    };
    struct Skipped {
        TimePoint nextProbe;
        TimePoint probedAt;
        std::optional<TimePoint> declinedUntil; ///< Set after a decline; such a host answers and needs no probe.
    };

    HostId m_self;
    std::vector<Candidate> m_hosts;
    std::map<HostId, Skipped> m_skipped;
};

}
