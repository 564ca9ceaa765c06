#pragma once

#include "Daemon/ControlGateway.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/HostContext.h"
#include "Daemon/StoreAccess.h"
#include "Membership/OwnershipTable.h"
#include "Orders/OrderService.h"
#include "Orders/ShardMap.h"
#include "Peer/PeerMessages_generated.h"
#include "Telemetry/Log.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Mangofall {

class TrafficPool;

/**
 * \class OrderEnvironment
 * \brief Access of the order runtime to the peers, shard owners and routing index of the control thread.
 */
class OrderEnvironment
{
public:
    virtual ~OrderEnvironment() = default;
    virtual void sendToPeer(const HostId &host, Wire::PeerMessageT &&message) = 0;
    /// The owner of ledger shard \p shard of this host's region; null if none is known.
    virtual const Membership::Owner *ownerOfShard(std::uint32_t shard) const = 0;
    virtual std::shared_ptr<const RoutingIndex> routing() const = 0;
};

/**
 * \class OrderRuntime
 * \brief Runs the order services of the ledger shards that this host owns and forwards all other orders to the owners of their shards.
 */
class OrderRuntime
{
public:
    using AnswerHandler = std::function<void(OrderAnswer)>;

    /// All arguments must outlive the runtime.
    OrderRuntime(boost::asio::io_context &context, HostContext &host, TrafficPool &pool, StoreAccess &store, OrderEnvironment &environment);
    ~OrderRuntime();

    /// Processes \p order here or at the owner of its shard. \p answered is called once, soon after the order's deadline at the latest.
    void submit(OrderSubmission &&order, AnswerHandler answered);
    /// Starts or stops owning the shards of this region that are among \p moves.
    void ownershipMoved(const std::vector<Membership::OwnershipMoved> &moves);
    /// Handles \p message from \p peer if it concerns orders; otherwise returns false.
    bool handle(const HostId &peer, const Wire::PeerMessageT &message);
    /// Must be called every 100 ms.
    void tick(TimePoint now);
    /// Has the next tick() confirm the ownership of this host's shards in the store. Called when the host may dispatch again after a pause.
    void confirmOwnership();

    /// Orders of unknown outcome in the shards of this host.
    std::vector<Orders::OrderRecord> unresolved() const;
    /// Records an operator's decision whether an order of unknown outcome ran; false if this host does not own its shard.
    bool resolve(const OrderKey &key, bool ran);
    /// Whether this host has no order in progress; orders of unknown outcome do not count.
    bool isIdle() const;

    static constexpr std::uint32_t shardsPerRegion = 8;

private:
    /// An order of a caller, or of another host, that has not been answered yet.
    struct PendingOrder {
        OrderSubmission order;
        AnswerHandler answered;
        TimePoint nextForwardAt; ///< When it is routed again; the ledger recognises repeats.
        bool submitted = false; ///< Whether a service of this host has it.
    };
    using PendingOrders = std::map<RequestId, PendingOrder>;

    std::unique_ptr<Orders::OrderService> makeService(std::uint32_t shard);
    void executeActions(std::uint32_t shard, const Orders::OrderActions &actions);
    void execute(std::uint32_t shard, const Orders::ReadKey &action);
    void execute(std::uint32_t shard, const Orders::WriteKey &action);
    void execute(std::uint32_t shard, const Orders::SendOrder &action);
    void execute(std::uint32_t shard, const Orders::CallStatus &action);
    void execute(std::uint32_t shard, const Orders::AnswerCaller &action);
    void execute(std::uint32_t shard, const Orders::ForwardOutcome &action);
    void execute(std::uint32_t shard, const Orders::DecisionAnswered &action);
    void execute(std::uint32_t shard, const Orders::OwnershipConfirmed &action);
    void execute(std::uint32_t shard, const Orders::OwnershipLost &action);
    template<class Event>
    void dispatchEvent(std::uint32_t shard, const Event &event);

    void route(const RequestId &caller, PendingOrder &pending, TimePoint now);
    void forward(const HostId &owner, const RequestId &caller, PendingOrder &pending);
    void deliver(const RequestId &caller, OrderAnswer answer);
    void deliverOutcome(const RequestId &caller, const Orders::OrderOutcome &outcome);
    void handleOrder(const HostId &peer, const Wire::LedgerOrderT &message);
    void expireOrders(TimePoint now);
    void reclaimShards();

    boost::asio::io_context &m_context;
    HostContext &m_host;
    TrafficPool &m_pool;
    StoreAccess &m_store;
    OrderEnvironment &m_environment;
    Log m_log;
    Orders::ShardMap m_shards;
    std::map<std::uint32_t, std::unique_ptr<Orders::OrderService>> m_services;
    PendingOrders m_pendingOrders;
    std::map<std::uint64_t, RequestId> m_remoteCalls; ///< Orders forwarded to other owners, by the call number of their LedgerOrder message.
    std::set<std::uint32_t> m_shardsToReclaim; ///< Shards whose ownership the next tick confirms if this host is still their owner.
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastReceivedOrder = 0;
};

}
