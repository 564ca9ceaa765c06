#pragma once

#include "Forwarding/StoreViewStatus.h"
#include "Placement/PlacementRequest.h"

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Mangofall::Forwarding {

/// What a host does with a placement request for a service that it owns.
enum class OwnershipDecision {
    Place,
    Defer, ///< The request waits until this host can place it.
    Decline, ///< The request is to go to the next owner.
};

/// Limits of an OwnershipGate.
struct OwnershipLimits {
    /// A view that is this much older than that of another host is stale. Has to be above the difference that hosts in touch with the store may have.
    Duration staleAfter = std::chrono::seconds(3);
    /// How long a host may take to catch up before it declines. After an outage of the store all hosts catch up within this time, one after the other, and a
    /// change of owner in between would cost more than it gains.
    Duration catchUpTime = std::chrono::milliseconds(1500);
    /// For how long from the first request on requests wait for the first complete read, which takes a fraction of it. Callers skip an owner that does not
    /// answer for as long, and one that cannot place requests is of no more use to them.
    Duration firstReadWait = std::chrono::milliseconds(150);
    /// For how long callers pass over a host that has declined because it has not read the store.
    Duration unreadDeclineTime = std::chrono::milliseconds(500);
    /// For how long after their arrival requests of a service wait that callers know of from a newer configuration.
    Duration unknownServiceWait = std::chrono::milliseconds(1500);
    /// For how long callers pass over a host that has declined. They then ask again, which costs each of them a round trip.
    Duration declineTime = std::chrono::seconds(2);
    /// A host that leaves is passed over until it is gone.
    Duration leavingDeclineTime = std::chrono::seconds(60);
    /// How many requests wait at most; further ones are declined.
    std::size_t maxDeferred = 2000;
    /// How long a newer view that a caller had is remembered.
    Duration newerViewMemory = std::chrono::seconds(60);
};

/**
 * \class OwnershipGate
 * \brief Decides whether this host places a request as owner, keeps it for a moment, or declines it. It reads no clock and makes no calls.
 *
 * A host that has lost the store answers its peers and so stays the owner of its services, although it no longer learns of upstreams that leave. Once a caller
 * shows that newer views exist, the host declines all callers, whatever their views, so that they all choose the same next owner, until its own view has
 * caught up. While the store is away for all, the views of all hosts age together, and none declines.
 *
 * An owner that has just started knows neither services nor upstreams; refusing a request then would say that it cannot be served, which is not known.
 */
class OwnershipGate
{
public:
    explicit OwnershipGate(const OwnershipLimits &limits);

    /// The services of the configuration in force.
    void setServices(std::set<ServiceId> services);
    /// This host has announced that it leaves.
    void startLeaving();

    /// Decides about a request. \p caller is the view of the host that sent it; unset for a request of this host. A deferred request is kept.
    OwnershipDecision
    decide(const Placement::PlacementRequest &request, const std::optional<StoreViewStatus> &caller, const StoreViewStatus &own, TimePoint now);
    /// For how long a caller is to pass over this host after a decline.
    Duration declineTime() const;

    /// Removes and returns the kept requests about which \p own allows another decision than to wait, with those decisions.
    std::vector<std::pair<Placement::PlacementRequest, OwnershipDecision>> takeDecided(const StoreViewStatus &own, TimePoint now);
    /// Forgets a kept request that has been withdrawn.
    void remove(const Placement::PlacementRequestId &id);
    /// Forgets the kept requests of a host that is lost.
    void removeHost(const HostId &host);
    bool keepsAny() const;

private:
    struct NewerView {
        StoreViewStatus status;
        TimePoint seenAt;
    };

    OwnershipDecision judge(const Placement::PlacementRequest &request, const StoreViewStatus &own, TimePoint now);
    /// Keeps the request unless it is kept already; returns false if too many are.
    bool keep(const Placement::PlacementRequest &request);
    void noteCaller(const StoreViewStatus &caller, const StoreViewStatus &own, TimePoint now);
    /// Whether a caller has shown a newer view that this host should know by now, and this host had the time to catch up.
    bool isStale(const StoreViewStatus &own, TimePoint now);
    /// Whether a caller has shown a newer view that this host should know by now.
    bool isBehind(const StoreViewStatus &own, TimePoint now) const;

    OwnershipLimits m_limits;
    std::set<ServiceId> m_services;
    std::vector<Placement::PlacementRequest> m_kept; ///< The deferred requests.
    std::optional<NewerView> m_newest; ///< The newest view that a caller had.
    std::optional<TimePoint> m_behindSince; ///< Since when isBehind() holds.
    std::optional<TimePoint> m_askedUnreadAt; ///< When the first request came before the first complete read.
    bool m_unread = true; ///< Whether this host had not read the store at the last decision.
    bool m_leaving = false;
};

}
