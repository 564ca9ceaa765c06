#pragma once

#include "Daemon/ControlLinks.h"
#include "Daemon/HostContext.h"
#include "Daemon/MembershipProbe.h"
#include "Membership/HeartbeatSender.h"
#include "Membership/MembershipTable.h"
#include "Membership/OwnershipTable.h"
#include "Membership/PauseDetector.h"
#include "Telemetry/Log.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class MembershipObserver
 * \brief Receives membership events from MembershipRuntime on the control thread.
 */
class MembershipObserver
{
public:
    virtual ~MembershipObserver() = default;
    /// The set of live hosts, the owners of keys or the permission to dispatch changed.
    virtual void viewChanged(const std::vector<Membership::OwnershipMoved> &moves) = 0;
    virtual void hostDied(const HostId &host) = 0;
    /// \p host has a newer configuration revision than this host.
    virtual void fetchConfiguration(const HostId &host, Revision revision) = 0;
    virtual void peerReported(const HostId &host, Revision revision) = 0;
    /// A heartbeat or digest brought an encoded load report, which may be empty.
    virtual void loadsReceived(const std::string &report) = 0;
    /// A newer process with this host's id is running.
    virtual void localHostReplaced() = 0;
};

/**
 * \class MembershipRuntime
 * \brief Runs membership, heartbeats and ownership on the control thread.
 */
class MembershipRuntime
{
public:
    MembershipRuntime(boost::asio::io_context &context, HostContext &host, ControlLinks &links, MembershipObserver &observer);

    /// Must be called every 100 ms. \p load is the encoded load report of this host's dispatchers, \p dataCentreLoad that of its whole data centre.
    void tick(TimePoint now, const std::string &load, const std::string &dataCentreLoad);

    /// Handles \p message; returns false if it is not a membership message.
    bool handle(const std::shared_ptr<PeerConnection> &connection, const Wire::PeerMessageT &message);

    void handleHostList(std::vector<Membership::ListedHost> hosts);
    void handleRoster(const Membership::DataCentreRoster &roster);
    void connectionBroken(const HostId &host);
    void setConfiguration(const FleetConfiguration &configuration);
    void setLeaving();

    const Membership::MembershipTable &table() const;
    std::shared_ptr<const Membership::OwnershipSnapshot> ownership() const;
    bool mayDispatch() const;

    /// Live hosts other than this one.
    std::map<HostId, PeerAddress> peers() const;
    std::map<HostId, PeerAddress> peersOfDataCentre() const;

private:
    void apply(const Membership::MembershipEvent &event);
    void on(const Membership::ProbeHost &action);
    void on(const Membership::ReplaceConnection &action);
    void on(const Membership::HostStateChanged &action);
    void on(const Membership::FetchConfiguration &action);
    void on(const Membership::SpreadSuspicion &action);
    void on(const Membership::DataCentreUnreachable &action);
    void on(const Membership::DataCentreReachable &action);
    void on(const Membership::ViewRenewed &action);
    void on(const Membership::LocalHostReplaced &action);

    void probeSeeds();
    void handlePause(const Membership::PauseEvent &event);
    void updateHeartbeatPlan();
    void recomputeOwnership();
    std::vector<Membership::HostStatus> statuses() const;
    void send(const HostId &host, Wire::PeerMessageT &&message);

    HostContext &m_host;
    ControlLinks &m_links;
    MembershipObserver &m_observer;
    Log m_log;
    Membership::MembershipTable m_table;
    Membership::HeartbeatSender m_sender;
    Membership::OwnershipTable m_ownership;
    Membership::PauseDetector m_pauseDetector;
    std::map<std::uint64_t, std::unique_ptr<MembershipProbe>> m_probes;
    std::vector<std::unique_ptr<MembershipProbe>> m_seedProbes; ///< Probes of the peers that are named in the settings.
    std::vector<std::unique_ptr<MembershipProbe>> m_finishedProbes; ///< Destroyed at the next tick, not inside their own callbacks.
    std::set<HostId> m_outOfService;
    TimePoint m_nextSeedProbe;
    bool m_hostsChanged = true; ///< Whether hosts changed since the last heartbeat plan.
    bool m_dispatching = true;
    bool m_leaving = false;
};

}
