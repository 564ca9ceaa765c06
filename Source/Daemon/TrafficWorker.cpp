#include "Daemon/TrafficWorker.h"

#include "Base/AsyncTasks.h"
#include "Base/Hash.h"
#include "Daemon/CallerHandler.h"
#include "Daemon/TrafficPool.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireDispatch.h"
#include "Daemon/WireHello.h"
#include "Daemon/WireLoad.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::uint32_t ticksPerLoadReport = 4;
// The worker's index is in the upper bits of attempt sequences and call numbers, so that no two threads use the same one.
constexpr unsigned workerIndexShift = 48;

// Sends answers to a session on a thread of this host.
class LocalReply : public ReplyTarget
{
public:
    explicit LocalReply(TrafficWorker &worker)
        : m_worker(worker)
    {
    }

    void reply(Wire::PeerMessageT &&message) override
    {
        auto shared = std::make_shared<Wire::PeerMessageT>(std::move(message));
        Asio::post(m_worker.context(), [&worker = m_worker, shared] {
            worker.handleAnswer(*shared);
        });
    }

private:
    TrafficWorker &m_worker;
};

// Sends answers over the peer connection on which the attempt arrived.
class RemoteReply : public ReplyTarget
{
public:
    RemoteReply(Asio::io_context &context, const std::shared_ptr<PeerConnection> &connection)
        : m_context(context)
        , m_connection(connection)
    {
    }

    void reply(Wire::PeerMessageT &&message) override
    {
        auto shared = std::make_shared<Wire::PeerMessageT>(std::move(message));
        Asio::dispatch(m_context, [weak = m_connection, shared] {
            if (const auto connection = weak.lock()) {
                connection->send(*shared);
            }
        });
    }

private:
    Asio::io_context &m_context;
    std::weak_ptr<PeerConnection> m_connection;
};

}

TrafficWorker::SessionGuard::SessionGuard(TrafficWorker &worker, TimePoint deadline)
    : m_worker(worker)
{
    ++m_worker.m_sessions;
    m_worker.m_latestDeadline = std::max(m_worker.m_latestDeadline, deadline);
    m_worker.m_host.metrics.activeSessions().Increment();
}

TrafficWorker::SessionGuard::~SessionGuard()
{
    --m_worker.m_sessions;
    m_worker.m_host.metrics.activeSessions().Decrement();
}

TrafficWorker::TrafficWorker(std::size_t index, HostContext &host, TrafficPool &pool, ControlGateway &control)
    : m_index(index)
    , m_host(host)
    , m_pool(pool)
    , m_control(control)
    , m_log("traffic")
    , m_context(1)
    , m_work(Asio::make_work_guard(m_context))
    , m_timer(m_context)
    , m_snapshot(std::make_shared<ControlSnapshot>())
    , m_router(hash64(host.settings.hostId.value()) ^ (host.incarnation + index))
    , m_callerHandler(std::make_unique<CallerHandler>(*this))
    , m_listener(std::make_unique<HttpListener>(m_context, *m_callerHandler, host.settings.maxBodyBytes))
    , m_localReply(std::make_shared<LocalReply>(*this))
{
}

TrafficWorker::~TrafficWorker()
{
    stop();
}

std::error_code TrafficWorker::listen()
{
    // The threads after the first listen on the port that the first one bound.
    const NetworkAddress &address = m_host.settings.callerListener;
    const std::uint16_t port = m_index == 0 ? address.port : m_pool.callerPort();
    return m_listener->listen(address.address, port);
}

std::uint16_t TrafficWorker::callerPort() const
{
    return m_listener->port();
}

void TrafficWorker::start()
{
    Asio::post(m_context, [this] {
        scheduleTick();
    });
    m_thread = std::thread([this] {
        runReportingErrors(m_context, [this](const char *problem) {
            m_log.error(std::string("A handler failed: ") + problem);
        });
    });
}

void TrafficWorker::stop()
{
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Asio::io_context &TrafficWorker::context()
{
    return m_context;
}

void TrafficWorker::setSnapshot(std::shared_ptr<const ControlSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    m_router.setSnapshot(m_snapshot);
    updateDispatchers();
}

const ControlSnapshot &TrafficWorker::snapshot() const
{
    return *m_snapshot;
}

EntryRouter &TrafficWorker::router()
{
    return m_router;
}

HostContext &TrafficWorker::host()
{
    return m_host;
}

ControlGateway &TrafficWorker::control()
{
    return m_control;
}

AttemptId TrafficWorker::newAttempt()
{
    const std::uint64_t sequence = (static_cast<std::uint64_t>(m_index) << workerIndexShift) + ++m_lastAttempt;
    return {hash64(m_host.settings.hostId.value()), m_host.incarnation, sequence};
}

void TrafficWorker::dispatch(Wire::DispatchT &&dispatch, AttemptListener &listener)
{
    const UpstreamId upstream(dispatch.upstream);
    const AttemptId attempt = fromWire(*dispatch.attempt);
    const auto owner = m_snapshot->dispatchers.find(upstream);
    m_attempts[attempt] = Recipient{&listener, owner == m_snapshot->dispatchers.end() ? HostId() : owner->second};
    sendToDispatcher(upstream, toMessage(std::move(dispatch)));
}

void TrafficWorker::cancel(Wire::CancelT &&cancel)
{
    const UpstreamId upstream(cancel.upstream);
    sendToDispatcher(upstream, toMessage(std::move(cancel)));
}

void TrafficWorker::setFlow(Wire::FlowT &&flow)
{
    const UpstreamId upstream(flow.upstream);
    sendToDispatcher(upstream, toMessage(std::move(flow)));
}

std::uint64_t TrafficWorker::probe(const UpstreamId &upstream, AttemptListener &listener)
{
    const std::uint64_t call = (static_cast<std::uint64_t>(m_index) << workerIndexShift) + ++m_lastCall;
    const auto owner = m_snapshot->dispatchers.find(upstream);
    if (owner == m_snapshot->dispatchers.end()) {
        return call;
    }
    m_calls[call] = Recipient{&listener, owner->second};
    if (owner->second != m_host.settings.hostId) {
        // Opens a new link, because the present connection may have failed unnoticed. The old one serves its other sessions until it fails.
        m_links.erase(owner->second);
    }
    Wire::ProbeCallT message;
    message.call = call;
    message.upstream = upstream.value();
    sendToDispatcher(upstream, toMessage(std::move(message)));
    return call;
}

std::uint64_t TrafficWorker::callReservation(Wire::ReservationCallT &&call, AttemptListener &listener)
{
    const std::uint64_t number = (static_cast<std::uint64_t>(m_index) << workerIndexShift) + ++m_lastCall;
    m_calls[number] = Recipient{&listener, HostId()};
    call.call = number;
    const UpstreamId upstream(call.upstream);
    sendToDispatcher(upstream, toMessage(std::move(call)));
    return number;
}

void TrafficWorker::releaseReservation(Wire::ReservationCallT &&call)
{
    const UpstreamId upstream(call.upstream);
    sendToDispatcher(upstream, toMessage(std::move(call)));
}

void TrafficWorker::forget(const AttemptId &attempt)
{
    m_attempts.erase(attempt);
}

void TrafficWorker::forgetCall(std::uint64_t call)
{
    m_calls.erase(call);
}

void TrafficWorker::adopt(Asio::ip::tcp::socket socket, const HostId &peer)
{
    m_log.debug("Accepted a traffic connection from " + peer.value() + ".");
    auto connection = std::make_shared<PeerConnection>(std::move(socket), [this](std::size_t bytes) {
        m_host.metrics.peerSentBytes("traffic").Increment(static_cast<double>(bytes));
    });
    m_inbound[connection] = std::make_shared<RemoteReply>(m_context, connection);
    connection->start(*this);
}

void TrafficWorker::handleDispatch(Wire::DispatchT &&dispatch, std::shared_ptr<ReplyTarget> reply)
{
    DispatcherRuntime *dispatcher = m_snapshot->dispatching ? dispatcherOf(UpstreamId(dispatch.upstream)) : nullptr;
    if (dispatcher == nullptr) {
        refuseDispatch(dispatch, *reply, ErrorKind::NoUpstream);
        return;
    }
    dispatcher->handleDispatch(std::move(dispatch), std::move(reply));
}

void TrafficWorker::handleCancel(const Wire::CancelT &cancel)
{
    if (DispatcherRuntime *dispatcher = dispatcherOf(UpstreamId(cancel.upstream))) {
        dispatcher->handleCancel(cancel);
    }
}

void TrafficWorker::handleFlow(const Wire::FlowT &flow)
{
    if (DispatcherRuntime *dispatcher = dispatcherOf(UpstreamId(flow.upstream))) {
        dispatcher->handleFlow(flow);
    }
}

void TrafficWorker::handleProbe(const Wire::ProbeCallT &probe, const std::shared_ptr<ReplyTarget> &reply)
{
    if (DispatcherRuntime *dispatcher = dispatcherOf(UpstreamId(probe.upstream))) {
        dispatcher->handleProbe(probe.call, reply);
    }
}

void TrafficWorker::handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply)
{
    DispatcherRuntime *dispatcher = m_snapshot->dispatching ? dispatcherOf(UpstreamId(call.upstream)) : nullptr;
    if (dispatcher != nullptr && call.owner) {
        dispatcher->handleReservation(call, reply);
    }
}

void TrafficWorker::handleEntryLost(const ReplyTarget *reply)
{
    for (auto &[upstream, dispatcher] : m_dispatchers) {
        dispatcher->handleEntryLost(reply);
    }
}

void TrafficWorker::handleDispatcherEvent(const UpstreamId &upstream, const DispatcherInput &event)
{
    if (DispatcherRuntime *dispatcher = dispatcherOf(upstream)) {
        dispatcher->handle(event);
    }
}

void TrafficWorker::handleReleaseFailure(const RequestFingerprint &fingerprint)
{
    for (auto &[upstream, dispatcher] : m_dispatchers) {
        dispatcher->releaseFailure(fingerprint);
    }
}

void TrafficWorker::handleStopCopy(const RequestFingerprint &fingerprint, const UpstreamId &upstream)
{
    if (DispatcherRuntime *dispatcher = dispatcherOf(upstream)) {
        dispatcher->stopCopy(fingerprint);
    }
}

void TrafficWorker::handleAnswer(const Wire::PeerMessageT &message)
{
    const Wire::ProbeAnswerT *probeAnswer = message.body.AsProbeAnswer();
    const Wire::ReservationAnswerT *reservation = message.body.AsReservationAnswer();
    if (probeAnswer != nullptr || reservation != nullptr) {
        const auto probe = m_calls.find(probeAnswer != nullptr ? probeAnswer->call : reservation->call);
        if (probe != m_calls.end()) {
            AttemptListener *listener = probe->second.listener;
            m_calls.erase(probe);
            listener->handleAnswer(message);
        }
        return;
    }
    const Wire::AttemptKey *key = nullptr;
    const Wire::LoadT *load = nullptr;
    if (const Wire::StreamStartT *start = message.body.AsStreamStart()) {
        key = start->attempt.get();
        load = start->load.get();
    } else if (const Wire::StreamDataT *data = message.body.AsStreamData()) {
        key = data->attempt.get();
    } else if (const Wire::StreamEndT *end = message.body.AsStreamEnd()) {
        key = end->attempt.get();
        load = end->load.get();
    }
    if (load != nullptr) {
        m_router.updateLoad(fromWire(*load));
    }
    const auto target = key == nullptr ? m_attempts.end() : m_attempts.find(fromWire(*key));
    if (target == m_attempts.end()) {
        m_host.metrics.staleAnswers().Increment();
        return;
    }
    target->second.listener->handleAnswer(message);
}

void TrafficWorker::stopAccepting()
{
    m_listener->close();
}

void TrafficWorker::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
    const auto inbound = m_inbound.find(connection);
    if (inbound == m_inbound.end()) {
        handleAnswer(message);
        return;
    }
    UpstreamId upstream;
    if (const Wire::DispatchT *dispatch = message.body.AsDispatch()) {
        upstream = UpstreamId(dispatch->upstream);
    } else if (const Wire::CancelT *cancel = message.body.AsCancel()) {
        upstream = UpstreamId(cancel->upstream);
    } else if (const Wire::FlowT *flow = message.body.AsFlow()) {
        upstream = UpstreamId(flow->upstream);
    } else if (const Wire::ProbeCallT *probe = message.body.AsProbeCall()) {
        upstream = UpstreamId(probe->upstream);
    } else if (const Wire::ReservationCallT *call = message.body.AsReservationCall()) {
        upstream = UpstreamId(call->upstream);
    } else {
        return;
    }
    deliverLocally(upstream, std::move(message), inbound->second);
}

void TrafficWorker::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    const auto inbound = m_inbound.find(connection);
    if (inbound != m_inbound.end()) {
        const std::shared_ptr<ReplyTarget> reply = inbound->second;
        m_inbound.erase(inbound);
        for (std::size_t index = 0; index < m_pool.size(); ++index) {
            TrafficWorker &worker = m_pool.worker(index);
            Asio::post(worker.context(), [&worker, reply] {
                worker.handleEntryLost(reply.get());
            });
        }
        return;
    }
    for (const auto &[host, link] : m_links) {
        if (link->connection() == connection) {
            reportLinkBroken(HostId(host));
            return;
        }
    }
}

void TrafficWorker::upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to)
{
    m_control.upstreamStateChanged(upstream, from, to);
}

void TrafficWorker::sendHandOver(const HandOverMessage &message)
{
    m_control.sendHandOver(message);
}

void TrafficWorker::capExceeded(std::uint32_t requests)
{
    m_host.metrics.capExcessRequests().Increment(requests);
}

SharedQuarantine &TrafficWorker::quarantine()
{
    return m_host.quarantine;
}

void TrafficWorker::recordSpan(Span &&span)
{
    m_host.spans.record(std::move(span));
}

void TrafficWorker::sendToDispatcher(const UpstreamId &upstream, Wire::PeerMessageT &&message)
{
    const auto owner = m_snapshot->dispatchers.find(upstream);
    if (owner != m_snapshot->dispatchers.end() && owner->second == m_host.settings.hostId) {
        deliverLocally(upstream, std::move(message), m_localReply);
        return;
    }
    if (owner == m_snapshot->dispatchers.end() || !m_snapshot->peers.contains(owner->second)) {
        if (const Wire::DispatchT *dispatch = message.body.AsDispatch()) {
            refuseDispatch(*dispatch, *m_localReply, ErrorKind::NoUpstream);
        }
        return;
    }
    linkTo(owner->second).send(std::move(message));
}

void TrafficWorker::deliverLocally(const UpstreamId &upstream, Wire::PeerMessageT &&message, std::shared_ptr<ReplyTarget> reply)
{
    TrafficWorker &worker = m_pool.pinnedWorker(upstream);
    auto shared = std::make_shared<Wire::PeerMessageT>(std::move(message));
    Asio::post(worker.context(), [&worker, shared, reply = std::move(reply)] {
        if (Wire::DispatchT *dispatch = shared->body.AsDispatch()) {
            worker.handleDispatch(std::move(*dispatch), reply);
        } else if (const Wire::CancelT *cancel = shared->body.AsCancel()) {
            worker.handleCancel(*cancel);
        } else if (const Wire::FlowT *flow = shared->body.AsFlow()) {
            worker.handleFlow(*flow);
        } else if (const Wire::ProbeCallT *probe = shared->body.AsProbeCall()) {
            worker.handleProbe(*probe, reply);
        } else if (const Wire::ReservationCallT *call = shared->body.AsReservationCall()) {
            worker.handleReservation(*call, *reply);
        }
    });
}

PeerLink &TrafficWorker::linkTo(const HostId &host)
{
    std::shared_ptr<PeerLink> &link = m_links[host];
    if (!link) {
        const PeerAddress &address = m_snapshot->peers.at(host);
        const auto countBytes = [this](std::size_t bytes) {
            m_host.metrics.peerSentBytes("traffic").Increment(static_cast<double>(bytes));
        };
        link = std::make_shared<PeerLink>(m_context, address.address, address.port, makeHello(m_host, Wire::Purpose::Traffic), *this, countBytes);
    }
    return *link;
}

void TrafficWorker::reportLinkBroken(const HostId &host)
{
    m_links.erase(host);
    m_control.linkBroken(host);
    std::vector<AttemptListener *> listeners;
    for (const auto &[attempt, target] : m_attempts) {
        if (target.host == host) {
            listeners.push_back(target.listener);
        }
    }
    for (AttemptListener *listener : listeners) {
        listener->handleLinkBroken(host);
    }
}

void TrafficWorker::updateDispatchers()
{
    if (!m_snapshot->routing) {
        return;
    }
    const RoutingIndex &routing = *m_snapshot->routing;
    for (const auto &[id, spec] : routing.configuration().upstreams) {
        const auto owner = m_snapshot->dispatchers.find(id);
        const bool ownedHere = owner != m_snapshot->dispatchers.end() && owner->second == m_host.settings.hostId && &m_pool.pinnedWorker(id) == this;
        const auto position = m_dispatchers.find(id);
        if (ownedHere && position == m_dispatchers.end()) {
            m_dispatchers[id] = std::make_unique<DispatcherRuntime>(m_context, spec, routing.preset(), *this);
            m_dispatchers[id]->handle(DispatcherEvent::TakeoverBegan{});
        } else if (!ownedHere && position != m_dispatchers.end() && m_released.insert(id).second) {
            position->second->handle(DispatcherEvent::OwnershipReleased{});
        } else if (ownedHere && m_released.erase(id) > 0) {
            position->second->handle(DispatcherEvent::TakeoverBegan{});
        }
        if (ownedHere) {
            m_dispatchers[id]->setPreset(routing.preset());
            m_dispatchers[id]->setOutOfService(routing.isOutOfService(spec));
        }
    }
}

DispatcherRuntime *TrafficWorker::dispatcherOf(const UpstreamId &upstream)
{
    const auto position = m_dispatchers.find(upstream);
    return position == m_dispatchers.end() ? nullptr : position->second.get();
}

void TrafficWorker::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void TrafficWorker::tick()
{
    std::size_t busyDispatchers = 0;
    for (auto position = m_dispatchers.begin(); position != m_dispatchers.end();) {
        DispatcherRuntime &dispatcher = *position->second;
        dispatcher.handle(DispatcherEvent::Tick{});
        const auto owner = m_snapshot->dispatchers.find(position->first);
        const bool ownedHere = owner != m_snapshot->dispatchers.end() && owner->second == m_host.settings.hostId;
        busyDispatchers += dispatcher.idle() ? 0 : 1;
        // A released dispatcher stays until its attempts have ended.
        if (!ownedHere && dispatcher.idle()) {
            m_released.erase(position->first);
            position = m_dispatchers.erase(position);
        } else {
            ++position;
        }
    }
    if (++m_ticks % ticksPerLoadReport != 0) {
        return;
    }
    std::vector<LoadSummary> loads;
    for (const auto &[upstream, dispatcher] : m_dispatchers) {
        loads.push_back(dispatcher->summary());
    }
    m_pool.updateLoads(loads);
    m_control.reportLoads(m_index, std::move(loads));
    m_control.reportActivity(m_index, m_sessions, busyDispatchers, m_latestDeadline);
}

}
