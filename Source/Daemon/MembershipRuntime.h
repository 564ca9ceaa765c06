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
 * \brief What the membership runtime tells the rest of the control thread.
 */
class MembershipObserver
{
public:
    virtual ~MembershipObserver() = default;
    /// Hosts, owners or permission to dispatch changed.
    virtual void viewChanged(const std::vector<Membership::OwnershipMoved> &moves) = 0;
    virtual void hostDied(const HostId &host) = 0;
    virtual void fetchConfiguration(const HostId &host, Revision revision) = 0;
    virtual void peerReported(const HostId &host, Revision revision) = 0;
    virtual void loadsReceived(const std::string &report) = 0;
    /// A newer process runs under this host's id.
    virtual void replaced() = 0;
};

/**
 * \class MembershipRuntime
 * \brief Drives membership, heartbeats and ownership on the control thread.
 */
class MembershipRuntime
{
public:
    MembershipRuntime(boost::asio::io_context &context, HostContext &host, ControlLinks &links, MembershipObserver &observer);

    /// Periodic, every 100 ms. The reports are of this host's dispatchers and of all of its data centre.
    void tick(TimePoint now, const std::string &load, const std::string &dataCentreLoad);

    /// True if \p message was one of membership.
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

    void greetSeeds();
    void handlePause(const Membership::PauseEvent &event);
    void replan();
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
    Membership::PauseDetector m_pause;
    std::map<std::uint64_t, std::unique_ptr<MembershipProbe>> m_probes;
    std::vector<std::unique_ptr<MembershipProbe>> m_greetings;
    std::vector<std::unique_ptr<MembershipProbe>> m_finishedProbes; ///< Destroyed with the next tick, outside their own callbacks.
    std::set<HostId> m_outOfService;
    TimePoint m_nextGreeting;
    bool m_dirty = true; ///< Hosts changed since the last plan.
    bool m_dispatching = true;
    bool m_leaving = false;
};

}
