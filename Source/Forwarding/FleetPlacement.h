#pragma once

#include "Forwarding/FleetHost.h"
#include "Forwarding/OwnerSelector.h"
#include "Forwarding/PlacementGateway.h"
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
class TcpListener;
}

namespace Mangofall::Wire {
struct HelloT;
struct PlacementAnswerT;
struct PlacementCallT;
struct PlacementReportT;
struct PlacementAdoptionT;
}

namespace Mangofall::Forwarding {

/**
 * \class FleetPlacement
 * \brief Gets places for this host's requests from the owner of their service, and gives places to others for the services that this host owns.
 *
 * An owner that does not answer is passed over: the demand goes to the next one, and the grants in use are reported to it.
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
    /// Ends what this host believed before a pause of its process; its peers have gone on without it.
    void closePeerLinks();

    std::size_t hosts() const;
    std::size_t waiting() const;

    Placement::PlacementRequestId nextId() override;
    void submit(const Placement::PlacementRequest &placementRequest, Handler handler) override;
    void firstEventReceived(const Placement::PlacementRequestId &id) override;
    void ended(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty) override;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;

private:
    /// A demand of this host, until its place is given back.
    struct Open {
        Placement::PlacementRequest placementRequest;
        Handler handler;
        HostId owner; ///< Asked for the place, or knows of the grant; empty if none does.
        TimePoint answerDue; ///< The owner counts as silent after this time.
        TimePoint askAgainAt; ///< When a queued demand is sent again, to see whether the owner still has it.
        bool queued = false;
        std::optional<Placement::Assignment> assignment;
        bool reading = true;
    };

    void ask(Open &open, TimePoint now);
    /// Records that this host places for \p service; begins with a hold, so that the grants of the former owner are known first.
    void placeFor(const ServiceId &service, TimePoint now);
    void forgetFormerServices(TimePoint now);
    void carryOut(const Placement::PlacementActions &actions);
    void settle(std::uint64_t number, Answer answer);
    void onCall(const std::shared_ptr<PeerConnection> &connection, const HostId &from, const Wire::PlacementCallT &call);
    void onAnswer(const HostId &from, const Wire::PlacementAnswerT &answer);
    void onReport(const HostId &from, const Wire::PlacementReportT &report);
    void onAdoption(const HostId &from, const Wire::PlacementAdoptionT &adoption);
    void sendReport(const HostId &owner, const Wire::PlacementReportT &report);
    void scheduleTick();
    void tick();
    void checkOwners(TimePoint now);
    std::shared_ptr<PeerLink> link(const HostId &host);
    /// The link to \p host, which is forgotten first, because ending it may call back; null if there is none.
    std::shared_ptr<PeerLink> takeLink(const HostId &host);
    void ownerSilent(const HostId &host, TimePoint now);

    boost::asio::io_context &m_io;
    HostId m_self;
    DataCentreId m_dataCentre;
    EventLog &m_log;
    OwnerSelector m_owners;
    Placement::PlacementTable m_table;
    std::map<std::uint64_t, Open> m_open;
    std::map<ServiceId, TimePoint> m_placedAt; ///< When this host last placed for a service.
    std::set<Placement::PlacementRequestId> m_asked; ///< Demands of others that wait in the table.
    std::map<HostId, FleetHost> m_hosts;
    std::map<HostId, std::shared_ptr<PeerLink>> m_links;
    std::map<std::shared_ptr<PeerConnection>, HostId> m_accepted; ///< Connections of peers, by the peer's hello.
    std::map<HostId, std::shared_ptr<PeerConnection>> m_callers; ///< Where the answers to a peer go.
    std::unique_ptr<TcpListener> m_listener;
    std::shared_ptr<const Wire::HelloT> m_hello;
    std::uint64_t m_nextNumber;
    boost::asio::steady_timer m_timer;
    bool m_ticking = false;
};

}
