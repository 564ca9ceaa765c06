#pragma once

#include "Base/RandomEngine.h"
#include "Daemon/ConfigurationRuntime.h"
#include "Daemon/ControlGateway.h"
#include "Daemon/ControlLinks.h"
#include "Daemon/HostContext.h"
#include "Daemon/MembershipRuntime.h"
#include "Daemon/OperatorHandler.h"
#include "Daemon/OrderRuntime.h"
#include "Daemon/ScheduledStore.h"
#include "Daemon/TrafficPool.h"
#include "Http/HttpListener.h"
#include "Peer/PeerMessageHandler.h"
#include "Peer/TcpListener.h"
#include "Store/HttpHostList.h"
#include "Store/HttpKeyValueStore.h"
#include "Telemetry/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <system_error>
#include <vector>

namespace Mangofall {

/**
 * \class ControlPlane
 * \brief The control thread of a daemon: runs configuration, membership, ownership and order ledgers, and publishes their state to the traffic threads.
 */
class ControlPlane : public ControlGateway, public MembershipObserver, public ConfigurationObserver, public OrderEnvironment, public PeerMessageHandler
{
public:
    /// \p host must outlive the control plane.
    ControlPlane(HostContext &host, std::string operatorKey);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Binds all listeners and starts the traffic threads.
    std::error_code listen();
    /// Runs until a graceful shutdown has finished.
    void run();

    boost::asio::io_context &context();
    std::uint16_t operatorPort() const;
    std::uint16_t callerPort() const;
    std::uint16_t peerPort() const;

    void submitChange(ConfigurationChange change, ConfigurationRuntime::ChangeHandler handler);
    /// Records whether an order of unknown outcome ran; returns false if this host does not own its ledger shard.
    bool resolveOrder(const OrderKey &key, bool ran);
    nlohmann::json statusJson() const;
    nlohmann::json configurationJson() const;
    nlohmann::json historyJson() const;
    nlohmann::json limitsJson() const;
    nlohmann::json ordersJson() const;

    void submitOrder(OrderSubmission &&order, std::function<void(OrderAnswer)> answered) override;
    void sendHandOver(const HandOverMessage &message) override;
    void reportLoads(std::size_t worker, std::vector<LoadSummary> loads) override;
    void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) override;
    void linkBroken(const HostId &host) override;
    void reportActivity(std::size_t worker, std::size_t sessions, std::size_t attempts, TimePoint latestDeadline) override;

    void viewChanged(const std::vector<Membership::OwnershipMoved> &moves) override;
    void hostDied(const HostId &host) override;
    void fetchConfiguration(const HostId &host, Revision revision) override;
    void peerReported(const HostId &host, Revision revision) override;
    void loadsReceived(const std::string &report) override;
    void localHostReplaced() override;

    void configurationAdopted(const std::shared_ptr<const FleetConfiguration> &configuration) override;
    void admittingChanged(bool admitting) override;
    void sendToPeer(const HostId &host, Wire::PeerMessageT &&message) override;
    std::map<HostId, PeerAddress> peersOfDataCentre() const override;

    const Membership::Owner *ownerOfShard(std::uint32_t shard) const override;
    std::shared_ptr<const RoutingIndex> routing() const override;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;

private:
    /// Work in progress on one traffic thread.
    struct Activity {
        std::size_t sessions = 0;
        std::size_t attempts = 0;
        TimePoint latestDeadline;
    };

    /// Records that this host became the dispatcher of an upstream whose former dispatcher may still have requests in flight there.
    struct Takeover {
        std::optional<HostId> formerDispatcher; ///< Empty if it is not known.
        TimePoint since;
    };

    boost::asio::awaitable<void> readHello(boost::asio::ip::tcp::socket socket);
    void pollHostList();
    void scheduleTick();
    void tick();
    void publish();
    void recordOwnershipMoves(const std::vector<Membership::OwnershipMoved> &moves);
    void completeTakeovers(TimePoint now);
    void chooseWatchers();
    void execute(const std::vector<QuarantineAction> &actions);
    void startShutdown();
    void checkShutdown(TimePoint now);
    std::string loadReport() const;
    std::string dataCentreLoadReport() const;
    bool isOfDataCentre(const UpstreamId &upstream) const;
    bool isOutOfService() const;

    HostContext &m_host;
    Log m_log;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    RandomEngine m_random;
    TrafficPool m_pool;
    HttpKeyValueStore m_keyValueStore;
    HttpHostList m_hostList;
    ScheduledStore m_store;
    ControlLinks m_links;
    MembershipRuntime m_membership;
    ConfigurationRuntime m_configuration;
    OrderRuntime m_orders;
    OperatorHandler m_operatorHandler;
    HttpListener m_operatorListener;
    TcpListener m_peerListener;
    std::map<std::shared_ptr<PeerConnection>, HostId> m_inbound;
    std::map<std::size_t, std::vector<LoadSummary>> m_loads;
    std::map<UpstreamId, LoadSummary> m_knownLoads; ///< Latest known load of each upstream, of this and other hosts' dispatchers.
    std::map<std::size_t, Activity> m_activity;
    std::map<UpstreamId, Takeover> m_takeovers;
    std::shared_ptr<const RoutingIndex> m_routing;
    bool m_admitting = false;
    bool m_leaving = false;
    bool m_accepting = true; ///< False once a shutdown has made the traffic threads stop accepting connections.
    bool m_dispatching = true; ///< Whether dispatch was allowed at the last change of the view.
    TimePoint m_leavingSince;
    std::uint32_t m_ticks = 0;
};

}
