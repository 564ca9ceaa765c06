#pragma once

#include "Forwarding/MembershipOptions.h"
#include "Forwarding/OwnershipGate.h"
#include "Forwarding/RetryLender.h"
#include "Placement/PlacementTable.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Wire {
struct PlacementCallT;
}

namespace Mangofall::Forwarding {

/**
 * \class OwnedServices
 * \brief What a host does as the owner of services: whether it places a request, and what it has to do when it becomes the owner of a service.
 */
class OwnedServices
{
public:
    using DecidedRequests = std::vector<std::pair<Placement::PlacementRequest, OwnershipDecision>>;

    /// \p table and \p log must outlive this object.
    OwnedServices(Placement::PlacementTable &table, EventLog &log, MembershipOptions options);

    void setServices(const std::vector<Placement::ServiceSpec> &services);
    void setLentRetryShare(const RetryShare &share);
    /// Declines all requests from now on, because this host has announced that it leaves.
    void startLeaving();

    /// Decides whether this host places a request as owner. \p caller is the view of the host that sent it; unset for a request of this host.
    OwnershipDecision decide(const Placement::PlacementRequest &request, const std::optional<StoreViewStatus> &caller, TimePoint now);
    /// Removes and returns the deferred requests that need not wait any more.
    DecidedRequests takeDecided(TimePoint now);
    /// Forgets a deferred request that was withdrawn.
    void withdrawn(const Placement::PlacementRequestId &id);
    /// Forgets the deferred requests of a lost host.
    void hostLost(const HostId &host);
    bool defersAny() const;
    /// For how long other hosts pass over this one after a decline.
    Duration declineTime() const;
    /// Says in a call to another owner how recent this host's view is.
    void describeView(Wire::PlacementCallT &call) const;

    /// Records that this host places requests of \p service. A new owner grants nothing for a short time, so that it first learns of the grants whose use has
    /// not ended, unless it is \p alone. Also one that was the owner a moment ago does not know what others have granted since.
    void record(const ServiceId &service, bool alone, TimePoint now);
    /// Places a request of any host.
    Placement::PlacementActions place(const Placement::PlacementRequest &request, TimePoint now);
    /// Notes the services that another host owns, and removes those that it has owned for some time.
    void expire(TimePoint now, const std::function<bool(const ServiceId &)> &isOwner);
    /// Whether this host has placed requests of the service lately.
    bool owns(const ServiceId &service) const;

private:
    Placement::PlacementTable &m_table;
    EventLog &m_log;
    MembershipOptions m_options;
    std::optional<OwnershipGate> m_gate; ///< Unset if this host places all requests that it is asked to place.
    RetryLender m_retryLender;
    struct Ownership {
        TimePoint lastPlacedAt; ///< When this host last handled a placement request of the service as its owner.
        bool interrupted = false; ///< Whether another host has owned the service since then.
    };
    std::map<ServiceId, Ownership> m_ownerships;
};

}
