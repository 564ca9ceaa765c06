#include "Daemon/OrderRuntime.h"

#include "Base/Hash.h"
#include "Daemon/OrderAttempt.h"
#include "Daemon/TrafficPool.h"
#include "Daemon/TrafficWorker.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireDispatch.h"
#include "Http/UpstreamCall.h"
#include "Http/UpstreamConnectionPool.h"
#include "Orders/OrderLedgerShard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

using namespace Orders;

constexpr std::chrono::milliseconds forwardInterval{1000};
constexpr std::chrono::milliseconds notReadyDelay{100};
constexpr std::chrono::milliseconds statusTimeout{2000};
constexpr std::size_t maxStatusBytes = 1024UL * 1024;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
// Base of the sequence numbers in the attempt ids of orders. The traffic threads have their index, a small number, in the upper 16 bits
// instead, so that no two attempts share an id.
constexpr std::uint64_t orderSequenceBase = 0xFFFFULL << 48U;

StoreStatus toStoreStatus(StoreReadStatus status)
{
    switch (status) {
    case StoreReadStatus::Found:
        return StoreStatus::Ok;
    case StoreReadStatus::Missing:
        return StoreStatus::NotFound;
    case StoreReadStatus::Unchanged:
    case StoreReadStatus::Failed:
        break;
    }
    return StoreStatus::NoAnswer;
}

StoreStatus toStoreStatus(StoreWriteStatus status)
{
    switch (status) {
    case StoreWriteStatus::Applied:
        return StoreStatus::Ok;
    case StoreWriteStatus::Conflict:
        return StoreStatus::Conflict;
    case StoreWriteStatus::NotApplied:
    case StoreWriteStatus::Unknown:
        break;
    }
    return StoreStatus::NoAnswer;
}

std::int64_t microsecondsUntil(TimePoint deadline)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(deadline - std::chrono::steady_clock::now()).count();
}

WallTime currentWallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// Asks the upstream over a separate connection whether an order ran and with what result.
Asio::awaitable<void>
queryStatus(Asio::io_context &context, UpstreamSpec upstream, std::string target, StatusAnswered answer, std::function<void(const StatusAnswered &)> answered)
{
    constexpr unsigned httpVersion = 11;
    const auto pool = std::make_shared<UpstreamConnectionPool>(context, upstream.address, upstream.port);
    UpstreamCall call(pool, std::chrono::steady_clock::now() + statusTimeout);
    UpstreamCall::Request request(BeastHttp::verb::get, target, httpVersion);
    request.keep_alive(false);
    request.set("x-attempt-id", toString(answer.attempt));
    std::string body;
    if (!co_await call.start(std::move(request)) && !co_await call.readAll(body, maxStatusBytes)) {
        if (call.status() == statusOk) {
            answer.result = StatusResult::Ran;
            answer.outcome.httpStatus = static_cast<int>(statusOk);
            answer.outcome.contentType = call.header("content-type");
            answer.outcome.body = std::move(body);
        } else if (call.status() == statusNotFound && call.header("x-cannot-run") == "1") {
            answer.result = StatusResult::CannotRun;
        }
    }
    answered(answer);
}

}

OrderRuntime::OrderRuntime(Asio::io_context &context, HostContext &host, TrafficPool &pool, StoreAccess &store, OrderEnvironment &environment)
    : m_context(context)
    , m_host(host)
    , m_pool(pool)
    , m_store(store)
    , m_environment(environment)
    , m_log("orders")
    , m_shards(shardsPerRegion)
{
}

OrderRuntime::~OrderRuntime() = default;

void OrderRuntime::submit(OrderSubmission &&order, AnswerHandler answered)
{
    const RequestId caller = order.caller;
    PendingOrder &pending = m_pendingOrders[caller];
    pending.order = std::move(order);
    pending.answered = std::move(answered);
    route(caller, pending, std::chrono::steady_clock::now());
}

void OrderRuntime::ownershipMoved(const std::vector<Membership::OwnershipMoved> &moves)
{
    for (const Membership::OwnershipMoved &move : moves) {
        const auto *shard = std::get_if<Membership::LedgerShard>(&move.key);
        if (shard == nullptr || shard->region != m_host.settings.region) {
            continue;
        }
        const bool ownedHere = move.now && move.now->host == m_host.settings.hostId;
        if (ownedHere) {
            auto &service = m_services[shard->index];
            if (!service) {
                service = makeService(shard->index);
            }
            dispatchEvent(shard->index, BecomeOwner{});
        } else if (m_services.contains(shard->index)) {
            dispatchEvent(shard->index, StopOwning{});
        }
    }
}

bool OrderRuntime::handle(const HostId &peer, const Wire::PeerMessageT &message)
{
    if (const Wire::LedgerOrderT *order = message.body.AsLedgerOrder()) {
        handleOrder(peer, *order);
    } else if (const Wire::LedgerAnswerT *wire = message.body.AsLedgerAnswer()) {
        const auto call = m_remoteCalls.extract(wire->call);
        if (!call.empty()) {
            OrderAnswer received;
            received.error = static_cast<ErrorKind>(wire->error);
            received.notRun = wire->not_run;
            received.httpStatus = wire->status;
            received.contentType = wire->content_type;
            received.body.assign(wire->body.begin(), wire->body.end());
            deliver(call.mapped(), std::move(received));
        }
    } else if (const Wire::LedgerOutcomeT *wire = message.body.AsLedgerOutcome()) {
        UpstreamAnswered answered;
        answered.key = OrderKey(wire->key);
        answered.attempt = fromWire(*wire->attempt);
        answered.result = static_cast<UpstreamResult>(wire->result);
        answered.outcome.httpStatus = wire->status;
        answered.outcome.contentType = wire->content_type;
        answered.outcome.body.assign(wire->body.begin(), wire->body.end());
        dispatchEvent(m_shards.shardOf(answered.key), answered);
    } else {
        return false;
    }
    return true;
}

void OrderRuntime::tick(TimePoint now)
{
    std::vector<std::uint32_t> shards;
    for (const auto &[shard, service] : m_services) {
        shards.push_back(shard);
    }
    for (const std::uint32_t shard : shards) {
        dispatchEvent(shard, OrderTick{});
    }
    reclaimShards();
    std::vector<RequestId> waiting;
    for (const auto &[caller, pending] : m_pendingOrders) {
        if (!pending.submitted && pending.nextForwardAt <= now) {
            waiting.push_back(caller);
        }
    }
    for (const RequestId &caller : waiting) {
        route(caller, m_pendingOrders.at(caller), now);
    }
    expireOrders(now);
}

std::vector<OrderRecord> OrderRuntime::unresolved() const
{
    std::vector<OrderRecord> records;
    for (const auto &[shard, service] : m_services) {
        const std::vector<OrderRecord> unknown = service->unknownOrders();
        records.insert(records.end(), unknown.begin(), unknown.end());
    }
    return records;
}

bool OrderRuntime::resolve(const OrderKey &key, bool ran)
{
    const std::uint32_t shard = m_shards.shardOf(key);
    const Membership::Owner *owner = m_environment.ownerOfShard(shard);
    if (owner == nullptr || owner->host != m_host.settings.hostId || !m_services.contains(shard)) {
        return false;
    }
    OperatorDecided decision;
    decision.key = key;
    decision.ran = ran;
    if (ran) {
        decision.outcome.httpStatus = static_cast<int>(statusOk);
        decision.outcome.contentType = "application/json";
        decision.outcome.body = R"({"settled_by":"operator"})";
    }
    dispatchEvent(shard, decision);
    return true;
}

bool OrderRuntime::isIdle() const
{
    return m_pendingOrders.empty() && std::all_of(m_services.begin(), m_services.end(), [](const auto &entry) {
               return entry.second->isIdle();
           });
}

std::unique_ptr<OrderService> OrderRuntime::makeService(std::uint32_t shard)
{
    const AttemptId lastAttempt{hash64(m_host.settings.hostId.value()), m_host.incarnation, orderSequenceBase + (static_cast<std::uint64_t>(shard) << 32U)};
    const std::string writer = m_host.settings.hostId.value() + "/" + std::to_string(m_host.incarnation);
    auto ledger = std::make_unique<OrderLedgerShard>(m_shards.storeKey(shard), writer, OrderLimits{});
    return std::make_unique<OrderService>(std::move(ledger), lastAttempt, OrderLimits{});
}

template<class Event>
void OrderRuntime::dispatchEvent(std::uint32_t shard, const Event &event)
{
    const auto service = m_services.find(shard);
    if (service != m_services.end()) {
        executeActions(shard, service->second->handle(event, std::chrono::steady_clock::now()));
    }
}

void OrderRuntime::executeActions(std::uint32_t shard, const OrderActions &actions)
{
    for (const OrderAction &action : actions) {
        std::visit(
            [this, shard](const auto &concreteAction) {
                execute(shard, concreteAction);
            },
            action);
    }
}

void OrderRuntime::execute(std::uint32_t shard, const Orders::ReadKey &action)
{
    m_store.read(action.key, StorePriority::Orders, [this, shard, call = action.call](const StoreReadDone &done) {
        dispatchEvent(shard, StoreAnswered{call, toStoreStatus(done.status), done.version, done.value});
    });
}

void OrderRuntime::execute(std::uint32_t shard, const Orders::WriteKey &action)
{
    const auto written = [this, shard, call = action.call](const StoreWriteDone &done) {
        dispatchEvent(shard, StoreAnswered{call, toStoreStatus(done.status), done.version, {}});
    };
    m_store.compareAndSwap(action.key, action.value, action.expected, StorePriority::Orders, written);
}

void OrderRuntime::execute(std::uint32_t shard, const SendOrder &action)
{
    const auto pending = m_pendingOrders.find(action.caller);
    const auto answered = [this, shard](const UpstreamAnswered &answer) {
        Asio::post(m_context, [this, shard, answer] {
            dispatchEvent(shard, answer);
        });
    };
    if (pending == m_pendingOrders.end()) {
        UpstreamAnswered refused;
        refused.key = action.key;
        refused.attempt = action.attempt;
        refused.result = UpstreamResult::Refused;
        answered(refused);
        return;
    }
    const OrderSubmission &order = pending->second.order;
    auto dispatch = std::make_shared<Wire::DispatchT>();
    dispatch->attempt = toWire(action.attempt);
    dispatch->request = order.caller.value();
    dispatch->organisation = order.organisation.value();
    dispatch->weight = 1;
    dispatch->upstream = action.upstream.value();
    dispatch->remaining_us = microsecondsUntil(order.deadline);
    dispatch->method = order.method;
    dispatch->target = order.target;
    dispatch->headers = toWire(order.headers);
    dispatch->body.assign(order.body.begin(), order.body.end());
    dispatch->trace_parent = order.traceParent;
    TrafficWorker &worker = m_pool.worker(shard % m_pool.size());
    Asio::post(worker.context(), [&worker, dispatch, key = action.key, answered] {
        OrderAttempt::send(worker, std::move(*dispatch), key, answered);
    });
}

void OrderRuntime::execute(std::uint32_t shard, const CallStatus &action)
{
    StatusAnswered answer;
    answer.key = action.key;
    answer.attempt = action.attempt;
    const std::shared_ptr<const RoutingIndex> routing = m_environment.routing();
    const auto &configuration = routing->configuration();
    const auto upstream = configuration.upstreams.find(action.upstream);
    const auto route = std::find_if(configuration.routes.begin(), configuration.routes.end(), [&action](const RouteSpec &candidate) {
        return candidate.service == action.service && !candidate.statusPath.empty();
    });
    if (upstream == configuration.upstreams.end() || route == configuration.routes.end()) {
        Asio::post(m_context, [this, shard, answer] {
            dispatchEvent(shard, answer);
        });
        return;
    }
    const auto answered = [this, shard](const StatusAnswered &received) {
        dispatchEvent(shard, received);
    };
    Asio::co_spawn(m_context, queryStatus(m_context, upstream->second, route->statusPath + action.key.value(), answer, answered), Asio::detached);
}

void OrderRuntime::execute(std::uint32_t, const AnswerCaller &action)
{
    if (action.error == ErrorKind::None && action.outcome) {
        deliverOutcome(action.caller, *action.outcome);
        return;
    }
    OrderAnswer refusal;
    refusal.error = action.error;
    refusal.notRun = action.notRun;
    deliver(action.caller, std::move(refusal));
}

void OrderRuntime::execute(std::uint32_t shard, const ForwardOutcome &action)
{
    const Membership::Owner *owner = m_environment.ownerOfShard(shard);
    if (owner == nullptr || owner->host == m_host.settings.hostId) {
        return;
    }
    Wire::LedgerOutcomeT outcome;
    outcome.key = action.answer.key.value();
    outcome.attempt = toWire(action.answer.attempt);
    outcome.result = static_cast<std::uint8_t>(action.answer.result);
    outcome.status = static_cast<std::uint16_t>(action.answer.outcome.httpStatus);
    outcome.content_type = action.answer.outcome.contentType;
    outcome.body.assign(action.answer.outcome.body.begin(), action.answer.outcome.body.end());
    m_environment.sendToPeer(owner->host, toMessage(std::move(outcome)));
}

void OrderRuntime::execute(std::uint32_t, const DecisionAnswered &action)
{
    const bool recorded = action.result == DecisionResult::Recorded;
    m_log.info("The operator's decision on order " + action.key.value() + (recorded ? " is recorded." : " is not recorded."));
}

void OrderRuntime::execute(std::uint32_t shard, const OwnershipConfirmed &action)
{
    m_log.info("This host owns ledger shard " + std::to_string(shard) + " in epoch " + std::to_string(action.epoch) + " with "
               + std::to_string(action.unresolved.size()) + " unresolved orders.");
}

void OrderRuntime::execute(std::uint32_t shard, const OwnershipLost &)
{
    m_shardsToReclaim.insert(shard);
    m_log.warning("This host no longer owns ledger shard " + std::to_string(shard) + ".");
}

void OrderRuntime::route(const RequestId &caller, PendingOrder &pending, TimePoint now)
{
    const std::uint32_t shard = m_shards.shardOf(pending.order.key);
    const Membership::Owner *owner = m_environment.ownerOfShard(shard);
    pending.nextForwardAt = now + forwardInterval;
    if (owner == nullptr) {
        return;
    }
    if (owner->host != m_host.settings.hostId) {
        forward(owner->host, caller, pending);
        return;
    }
    if (!m_services.contains(shard)) {
        return;
    }
    pending.submitted = true;
    OrderRequest request;
    request.caller = caller;
    request.key = pending.order.key;
    request.bodyHash = contentHash(pending.order.body);
    request.organisation = pending.order.organisation;
    request.service = pending.order.route.service;
    request.upstream = pending.order.upstream;
    request.hasStatusCall = !pending.order.route.statusPath.empty();
    request.deadline = pending.order.deadline;
    request.receivedAt = currentWallTime();
    dispatchEvent(shard, request);
}

void OrderRuntime::reclaimShards()
{
    // Another host may have fenced a shard although this host's view still names this host as the owner. Views differ only for a while,
    // so this host takes the shard again as long as its view names it.
    const std::set<std::uint32_t> shards = std::move(m_shardsToReclaim);
    m_shardsToReclaim.clear();
    for (const std::uint32_t shard : shards) {
        const Membership::Owner *owner = m_environment.ownerOfShard(shard);
        if (owner != nullptr && owner->host == m_host.settings.hostId) {
            dispatchEvent(shard, BecomeOwner{});
        }
    }
}

void OrderRuntime::confirmOwnership()
{
    for (const auto &[shard, service] : m_services) {
        m_shardsToReclaim.insert(shard);
    }
}

void OrderRuntime::forward(const HostId &owner, const RequestId &caller, PendingOrder &pending)
{
    const OrderSubmission &order = pending.order;
    Wire::LedgerOrderT message;
    message.call = ++m_lastCall;
    m_remoteCalls[message.call] = caller;
    message.key = order.key.value();
    message.organisation = order.organisation.value();
    message.service = order.route.service.value();
    message.upstream = order.upstream.value();
    message.status_path = order.route.statusPath;
    message.remaining_us = microsecondsUntil(order.deadline);
    message.method = order.method;
    message.target = order.target;
    message.headers = toWire(order.headers);
    message.body.assign(order.body.begin(), order.body.end());
    message.trace_parent = order.traceParent;
    m_environment.sendToPeer(owner, toMessage(std::move(message)));
}

void OrderRuntime::handleOrder(const HostId &peer, const Wire::LedgerOrderT &message)
{
    OrderSubmission order;
    order.caller = RequestId(peer.value() + "/" + std::to_string(++m_lastReceivedOrder));
    order.key = OrderKey(message.key);
    order.organisation = OrganisationId(message.organisation);
    order.route.service = ServiceId(message.service);
    order.route.statusPath = message.status_path;
    order.upstream = UpstreamId(message.upstream);
    order.method = message.method;
    order.target = message.target;
    for (const auto &header : message.headers) {
        order.headers.emplace_back(header->name, header->value);
    }
    order.body.assign(message.body.begin(), message.body.end());
    order.traceParent = message.trace_parent;
    order.deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(message.remaining_us);
    const std::uint32_t shard = m_shards.shardOf(order.key);
    const Membership::Owner *owner = m_environment.ownerOfShard(shard);
    if (owner == nullptr || owner->host != m_host.settings.hostId) {
        return; // The sender repeats the call to whichever host it then knows as the owner.
    }
    submit(std::move(order), [this, peer, call = message.call](OrderAnswer received) {
        Wire::LedgerAnswerT wire;
        wire.call = call;
        wire.error = static_cast<std::uint16_t>(received.error);
        wire.not_run = received.notRun;
        wire.status = static_cast<std::uint16_t>(received.httpStatus);
        wire.content_type = received.contentType;
        wire.body.assign(received.body.begin(), received.body.end());
        m_environment.sendToPeer(peer, toMessage(std::move(wire)));
    });
}

void OrderRuntime::deliverOutcome(const RequestId &caller, const OrderOutcome &outcome)
{
    OrderAnswer result;
    result.httpStatus = outcome.httpStatus;
    result.contentType = outcome.contentType;
    result.body = outcome.body;
    if (outcome.bodyKey.empty()) {
        deliver(caller, std::move(result));
        return;
    }
    m_store.read(outcome.bodyKey, StorePriority::Orders, [this, caller, result](const StoreReadDone &done) {
        OrderAnswer complete = result;
        if (done.status == StoreReadStatus::Found) {
            complete.body = done.value;
        } else {
            complete.error = ErrorKind::StoreUnavailable;
        }
        deliver(caller, std::move(complete));
    });
}

void OrderRuntime::deliver(const RequestId &caller, OrderAnswer result)
{
    const auto pending = m_pendingOrders.find(caller);
    const TimePoint retryAt = std::chrono::steady_clock::now() + notReadyDelay;
    if (result.error == ErrorKind::NotReady && pending != m_pendingOrders.end() && retryAt < pending->second.order.deadline) {
        // The shard is changing its owner, so the order is routed again later; the ledger recognises the repeat.
        pending->second.submitted = false;
        pending->second.nextForwardAt = retryAt;
        return;
    }
    const auto delivered = m_pendingOrders.extract(caller);
    if (delivered.empty()) {
        return;
    }
    m_host.metrics.orders(result.error == ErrorKind::None ? "answered" : result.notRun ? "not_run" : "unknown").Increment();
    delivered.mapped().answered(std::move(result));
}

void OrderRuntime::expireOrders(TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[caller, pending] : m_pendingOrders) {
        // A service of this host answers its callers within one tick of their deadline, so an order that was submitted to it expires later.
        const TimePoint latest = pending.submitted ? pending.order.deadline + forwardInterval : pending.order.deadline;
        if (latest <= now) {
            expired.push_back(caller);
        }
    }
    for (const RequestId &caller : expired) {
        OrderAnswer unknown;
        unknown.error = ErrorKind::OrderUnknown;
        deliver(caller, std::move(unknown));
    }
    std::erase_if(m_remoteCalls, [this](const auto &entry) {
        return !m_pendingOrders.contains(entry.second);
    });
}

}
