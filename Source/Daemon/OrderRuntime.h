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
 * \brief What the order runtime needs from the control thread.
 */
class OrderEnvironment
{
public:
    virtual ~OrderEnvironment() = default;
    virtual void sendToPeer(const HostId &host, Wire::PeerMessageT &&message) = 0;
    virtual const Membership::Owner *ownerOfShard(std::uint32_t shard) const = 0;
    virtual std::shared_ptr<const RoutingIndex> routing() const = 0;
};

/**
 * \class OrderRuntime
 * \brief Drives the ledger shards that this host owns and forwards other orders to their owners.
 */
class OrderRuntime
{
public:
    using AnswerHandler = std::function<void(OrderAnswer)>;

    /// All arguments must outlive the runtime.
    OrderRuntime(boost::asio::io_context &context, HostContext &host, TrafficPool &pool, StoreAccess &store, OrderEnvironment &environment);
    ~OrderRuntime();

    void submit(OrderSubmission &&order, AnswerHandler answered);
    void ownershipMoved(const std::vector<Membership::OwnershipMoved> &moves);
    /// True if \p message, which came from \p peer, was one of orders.
    bool handle(const HostId &peer, const Wire::PeerMessageT &message);
    /// Periodic, every 100 ms.
    void tick(TimePoint now);
    /// After a pause of this host: confirms the ownership of its shards in the store.
    void confirmOwnership();

    /// Unknown orders of the shards that this host owns.
    std::vector<Orders::OrderRecord> unresolved() const;
    /// An operator's decision on an unknown order; false if its shard is not owned here.
    bool resolve(const OrderKey &key, bool ran);
    /// Whether no order is under way here.
    bool isIdle() const;

    static constexpr std::uint32_t shardsPerRegion = 8;

private:
    /// A caller's order until it is answered.
    struct Pending {
        OrderSubmission order;
        AnswerHandler answered;
        TimePoint nextForward; ///< When it is sent to the owner again; the ledger recognises repeats.
        bool submitted = false; ///< Given to a service of this host.
    };
    using Calls = std::map<RequestId, Pending>;

    std::unique_ptr<Orders::OrderService> makeService(std::uint32_t shard);
    void process(std::uint32_t shard, const Orders::OrderActions &actions);
    void on(std::uint32_t shard, const Orders::ReadKey &action);
    void on(std::uint32_t shard, const Orders::WriteKey &action);
    void on(std::uint32_t shard, const Orders::SendOrder &action);
    void on(std::uint32_t shard, const Orders::CallStatus &action);
    void on(std::uint32_t shard, const Orders::AnswerCaller &action);
    void on(std::uint32_t shard, const Orders::ForwardOutcome &action);
    void on(std::uint32_t shard, const Orders::DecisionAnswered &action);
    void on(std::uint32_t shard, const Orders::OwnershipConfirmed &action);
    void on(std::uint32_t shard, const Orders::OwnershipLost &action);
    template<class Event>
    void feed(std::uint32_t shard, const Event &event);

    void route(const RequestId &caller, Pending &pending, TimePoint now);
    void forward(const HostId &owner, const RequestId &caller, Pending &pending);
    void answer(const RequestId &caller, OrderAnswer answer);
    void answerOutcome(const RequestId &caller, const Orders::OrderOutcome &outcome);
    void handleOrder(const HostId &peer, const Wire::LedgerOrderT &message);
    void expire(TimePoint now);
    void reclaim();

    boost::asio::io_context &m_context;
    HostContext &m_host;
    TrafficPool &m_pool;
    StoreAccess &m_store;
    OrderEnvironment &m_environment;
    Log m_log;
    Orders::ShardMap m_shards;
    std::map<std::uint32_t, std::unique_ptr<Orders::OrderService>> m_services;
    Calls m_calls;
    std::map<std::uint64_t, RequestId> m_remoteCalls; ///< Calls to other owners by the number on the wire.
    std::set<std::uint32_t> m_reclaim; ///< Shards whose ownership is confirmed with the next tick if it is still named here.
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastCaller = 0;
};

}
