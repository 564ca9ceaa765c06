#pragma once

#include "Forwarding/ColdRateShares.h"
#include "Forwarding/ColdShareLog.h"
#include "Forwarding/CrashReplica.h"
#include "Forwarding/FleetHost.h"
#include "Forwarding/FleetPeers.h"
#include "Forwarding/GrantAge.h"
#include "Forwarding/LeavingLog.h"
#include "Forwarding/LoadFindingsLog.h"
#include "Forwarding/OwnedServices.h"
#include "Forwarding/PeerConnections.h"
#include "Forwarding/PendingLoad.h"
#include "Forwarding/PlacementGateway.h"
#include "Peer/PeerMessageHandler.h"
#include "Placement/PlacementTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Mangofall {
class EventLog;
class PeerConnection;
class PeerLink;
}

namespace Mangofall::Wire {
struct PlacementAnswerT;
struct ColdShareAnswerT;
struct ColdShareCallT;
struct PlacementCallT;
struct PlacementReportT;
struct PlacementAdoptionT;
struct UpstreamNoticeT;
}

namespace Mangofall::Forwarding {

/**
 * \class FleetPlacement
 * \brief Sends this host's placement requests to the owner of their service, and answers those of other hosts for the services that this host owns.
 *
 * If an owner does not answer, the placement requests sent to it go to the next owner, which is also told of the grants whose use has not ended.
 */
class FleetPlacement final : public PlacementGateway, public PeerMessageHandler
{
public:
    FleetPlacement(boost::asio::io_context &io, HostId self, DataCentreId dataCentre, EventLog &log, const MembershipOptions &options = {});
    ~FleetPlacement() override;

    std::error_code listen(const NetworkAddress &address);

    /// Sets the hosts that have an entry in the store.
    void setHosts(const std::vector<FleetHost> &hosts);
    /// Places no further requests as owner, because this host has announced that it leaves.
    void startLeaving();
    /// Must be called before setServices().
    void setOptions(const Placement::PlacementOptions &options);
    void setServices(const std::vector<Placement::ServiceSpec> &services);
    void setUpstreams(const std::vector<Placement::UpstreamEntry> &upstreams);
    /// Sets the share of the retry budget that this host lends as owner.
    void setLentRetryShare(const RetryShare &share);
    /// Closes the connections that this host opened to its peers. For use after a pause of the process, because the peers have gone on without it.
    void closePeerLinks();

    /// The observer must outlive this object.
    void setSuspectObserver(SuspectObserver &observer);
    /// Adds what the store knows of a suspect, and returns what this host knows of it then.
    Placement::SuspectState addSuspect(const Placement::SuspectState &state);
    /// The number of suspects whose requests are held back.
    std::size_t heldSuspects() const;

    /// The members of the fleet.
    const FleetPeers &peers() const;
    /// The number of placement requests that wait at this host as owner.
    std::size_t waiting() const;
    /// Load of the upstreams that this host has not granted as owner.
    Placement::LoadFindings loadFindings() const;
    /// The shares of requests that leave their data centres, for the services that this host owns.
    std::vector<Placement::LeavingReport> leavingReports() const;
    /// The reservations of engines that this host made as owner.
    Placement::ReservationCounts reservationCounts() const
    {
        return m_table.reservationCounts();
    }

    Placement::PlacementRequestId nextId() override;
    void submit(const Placement::PlacementRequest &placementRequest, Handler handler) override;
    void firstEventReceived(const Placement::PlacementRequestId &id) override;
    void noticeReceived(const Placement::PlacementRequestId &id, const Placement::UpstreamNotice &notice) override;
    void loadReported(const Placement::PlacementRequestId &id, const Placement::ReportedLoad &load) override;
    void ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty) override;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;

private:
    /// A placement request of this host, from its submission until its assignment is released.
    struct LocalPlacement {
        Placement::PlacementRequest placementRequest;
        Handler handler;
        HostId owner; ///< The host that was sent the placement request or knows of the grant; empty if there is none.
        TimePoint answerDeadline; ///< The owner counts as silent after this time.
        TimePoint resendAt; ///< When a queued placement request is sent again, in case the owner has lost it.
        bool queued = false;
        std::optional<Placement::Assignment> assignment;
        TimePoint assignedAt;
        bool prefilling = true;
        PendingLoad load;
    };

    /// Places the request or sends it to its owner. If this host declines and there is no other owner, it places its own requests.
    void requestAssignment(LocalPlacement &placement, TimePoint now);
    /// Passes over this host as owner for a while.
    void passOverSelf(TimePoint now);
    /// Places or declines the requests that waited until this host knew enough.
    void serveDeferred(TimePoint now);
    /// Declines the request of the host that opened the connection, and withdraws it if it waits here.
    void decline(PeerConnection &connection, const Placement::PlacementRequestId &id, TimePoint now);
    void onDeclined(const HostId &from, Duration time, TimePoint now);
    /// Ends what depended on the processes of these hosts.
    void hostsLost(const std::vector<HostId> &hosts, TimePoint now);
    /// Removes the waiting requests of another host, which it may send again.
    void forgetRequestsOf(const HostId &host, TimePoint now);
    /// Removes the services that another host has owned for some time.
    void expireOwnerships(TimePoint now);
    /// Lets the requests of this host that were sent to \p host be sent to the present owner.
    void forgetOwner(const HostId &host);
    /// Places a request of any host as the owner of its service.
    void place(const Placement::PlacementRequest &request, TimePoint now);
    /// Notes that this host places requests of the service.
    void recordOwnership(const ServiceId &service, TimePoint now);
    void applyActions(const Placement::PlacementActions &actions);
    /// Delivers the answer to the handler of the placement request with this number.
    void deliver(std::uint64_t number, Answer answer);
    void onCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::PlacementCallT &call);
    /// Whether the request has a grant that was sent on \p connection, so that it reaches its host, which sent the request once more before that.
    bool crossedGrant(const std::shared_ptr<PeerConnection> &connection, const Placement::PlacementRequestId &id) const;
    void onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer);
    void onReport(const HostId &from, const Wire::PlacementReportT &report);
    void onUpstreamNotice(const HostId &from, const Wire::UpstreamNoticeT &notice);
    void onAdoption(const HostId &from, const Wire::PlacementAdoptionT &adoption);
    /// Refuses a request that got an assignment from an owner which does not know that the request is held back.
    void refuseAssignment(std::uint64_t number, const Placement::Refusal &refusal);
    /// Sends what has changed in the crash record to the hosts that need it.
    void publishCrashes();
    void onCrashUpdate(const std::shared_ptr<PeerConnection> &connection, const Wire::CrashUpdateT &update);
    /// Handles a pause of this process, during which its peers may have chosen another owner.
    void checkForPause(TimePoint now);
    /// Another host probes this one because it has found it silent: it gets its grants from another owner, at least until it has the answer.
    void onProbe(const std::shared_ptr<PeerConnection> &connection, const Wire::MembershipProbeT &probe);
    /// Tells the table which parts of the rates of cold upstreams it may use, and asks the members for their shares if that is due.
    void updateColdShares(TimePoint now);
    void callForShares(const HostId &member, const std::vector<ServiceId> &services, TimePoint now);
    void onColdShareCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::ColdShareCallT &call);
    void onColdShareAnswer(const HostId &from, const Wire::ColdShareAnswerT &answer);
    /// Treats members that do not answer calls for their shares as those that do not answer placement requests.
    void passOverSilentMembers(TimePoint now);
    /// The answer that brings a grant to the host that sent \p call.
    Wire::PlacementAnswerT grantAnswer(const Placement::Grant &grant, const CallRecord &call) const;
    /// Hands a grant of \p from back, and asks again, if it is too old to be used at a cold upstream. Returns whether it did.
    bool handBackOldGrant(LocalPlacement &placement, const HostId &from, const Wire::PlacementAnswerT &answer);
    /// Moves a request of this host that waits in its own table to the present owner.
    void handOver(LocalPlacement &placement, TimePoint now);
    void scheduleTick();
    void tick();
    void checkOwners(TimePoint now);
    /// Reports a grant in use to the present owner of its service, and its end to the former one.
    void reportGrant(LocalPlacement &placement, const HostId &owner, TimePoint now);
    void onOwnerSilent(const HostId &host, TimePoint now);
    /// Handles a message that arrived on the link to \p from.
    void onLinkMessage(const HostId &from, const Wire::PeerMessageT &message);

    HostId m_self;
    DataCentreId m_dataCentre;
    EventLog &m_log;
    CrashReplica m_crashes;
    Placement::PlacementTable m_table;
    OwnedServices m_owned;
    ColdRateShares m_shares;
    ColdShareLog m_coldShareLog;
    std::map<std::uint64_t, LocalPlacement> m_localPlacements;
    std::map<Placement::PlacementRequestId, CallRecord> m_waitingPeerRequests; ///< Placement requests of other hosts that wait in the table.
    PeerConnections m_connections;
    FleetPeers m_peers;
    std::uint64_t m_nextNumber;
    boost::asio::steady_timer m_timer;
    bool m_tickScheduled = false;
    PauseDetector m_pauses;
    std::function<void()> m_pauseHandler; ///< Called after a long pause; may be empty.
    LoadFindingsLog m_loadFindingsLog;
    LeavingLog m_leavingLog;
};

}
