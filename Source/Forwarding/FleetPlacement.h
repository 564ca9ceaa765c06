#pragma once

#include "Forwarding/CrashReplica.h"
#include "Forwarding/FleetHost.h"
#include "Forwarding/OwnerSelector.h"
#include "Forwarding/PeerConnections.h"
#include "Forwarding/PlacementGateway.h"
#include "Forwarding/RetryLender.h"
#include "Peer/PeerMessageHandler.h"
#include "Placement/PlacementTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Mangofall {
class EventLog;
class PeerConnection;
class PeerLink;
}

namespace Mangofall::Wire {
struct PlacementAnswerT;
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
    FleetPlacement(boost::asio::io_context &io, HostId self, DataCentreId dataCentre, EventLog &log);
    ~FleetPlacement() override;

    std::error_code listen(const NetworkAddress &address);

    void setHosts(const std::vector<FleetHost> &hosts);
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

    /// The number of live hosts, this one included.
    std::size_t hosts() const;
    /// The number of placement requests that wait at this host as owner.
    std::size_t waiting() const;
    /// The reservations of engines that this host made as owner.
    Placement::ReservationCounts reservationCounts() const
    {
        return m_table.reservationCounts();
    }

    Placement::PlacementRequestId nextId() override;
    void submit(const Placement::PlacementRequest &placementRequest, Handler handler) override;
    void firstEventReceived(const Placement::PlacementRequestId &id) override;
    void noticeReceived(const Placement::PlacementRequestId &id, const Placement::UpstreamNotice &notice) override;
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
    };

    void requestAssignment(LocalPlacement &placement, TimePoint now);
    /// Records that this host places the requests of \p service. A new owner grants nothing for a short time, so that it first learns of the grants
    /// whose use has not ended.
    void recordOwnership(const ServiceId &service, TimePoint now);
    /// Removes the services that another host has owned for some time.
    void expireOwnerships(TimePoint now);
    /// Places a request of any host as the owner of its service.
    Placement::PlacementActions place(const Placement::PlacementRequest &request, TimePoint now);
    void applyActions(const Placement::PlacementActions &actions);
    /// Delivers the answer to the handler of the placement request with this number.
    void deliver(std::uint64_t number, Answer answer);
    void onCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::PlacementCallT &call);
    void onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer);
    void onReport(const HostId &from, const Wire::PlacementReportT &report);
    void onUpstreamNotice(const HostId &from, const Wire::UpstreamNoticeT &notice);
    void onAdoption(const HostId &from, const Wire::PlacementAdoptionT &adoption);
    /// Refuses a request that got an assignment from an owner which does not know that the request is held back.
    void refuseAssignment(std::uint64_t number, const Placement::Refusal &refusal);
    /// Sends what has changed in the crash record to the hosts that need it.
    void publishCrashes();
    /// Makes links to the hosts that pass on what all hosts must learn.
    void connectRelayTargets();
    void onCrashUpdate(const std::shared_ptr<PeerConnection> &connection, const Wire::CrashUpdateT &update);
    void sendReport(const HostId &owner, const Wire::PlacementReportT &report);
    void scheduleTick();
    void tick();
    void checkOwners(TimePoint now);
    /// The link to a listed host. A new link begins with what this host knows of crashes.
    PeerLink &link(const HostId &host);
    void onOwnerSilent(const HostId &host, TimePoint now);
    /// Probes the hosts that are skipped because they did not answer.
    void sendProbes(TimePoint now);
    /// Handles a message that arrived on the link to \p from.
    void onLinkMessage(const HostId &from, const Wire::PeerMessageT &message);

    HostId m_self;
    DataCentreId m_dataCentre;
    EventLog &m_log;
    OwnerSelector m_owners;
    CrashReplica m_crashes;
    Placement::PlacementTable m_table;
    RetryLender m_retryLender;
    std::map<std::uint64_t, LocalPlacement> m_localPlacements;
    std::map<ServiceId, TimePoint> m_lastPlacedAt; ///< When this host last handled a placement request of each service as its owner.
    std::set<Placement::PlacementRequestId> m_waitingPeerRequests; ///< Placement requests of other hosts that wait in the table.
    std::map<HostId, FleetHost> m_hosts;
    PeerConnections m_connections;
    std::uint64_t m_nextNumber;
    boost::asio::steady_timer m_timer;
    bool m_tickScheduled = false;
};

}
