#pragma once

#include "Daemon/AttemptListener.h"
#include "Daemon/ControlGateway.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/DispatcherEnvironment.h"
#include "Daemon/DispatcherRuntime.h"
#include "Daemon/EntryRouter.h"
#include "Daemon/HostContext.h"
#include "Http/HttpListener.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerMessageHandler.h"
#include "Telemetry/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <thread>
#include <unordered_map>

namespace Mangofall {

class CallerHandler;
class TrafficPool;

/**
 * \class TrafficWorker
 * \brief One traffic thread: callers' sessions, connections to peers and the dispatchers pinned to it.
 *
 * Except for those marked, all functions are called on the worker's thread.
 */
class TrafficWorker : public PeerMessageHandler, public DispatcherEnvironment
{
public:
    TrafficWorker(std::size_t index, HostContext &host, TrafficPool &pool, ControlGateway &control);
    ~TrafficWorker() override;
    TrafficWorker(const TrafficWorker &) = delete;
    TrafficWorker &operator=(const TrafficWorker &) = delete;

    /// Binds the callers' listener; before start().
    std::error_code listen();
    std::uint16_t callerPort() const;
    /// Starts the thread. May be called on any thread.
    void start();
    /// Ends the thread and waits for it. May be called on any other thread.
    void stop();

    /// May be used on any thread, to post work.
    boost::asio::io_context &context();

    void setSnapshot(std::shared_ptr<const ControlSnapshot> snapshot);
    const ControlSnapshot &snapshot() const;
    EntryRouter &router();
    HostContext &host();
    ControlGateway &control();

    /// A new attempt id of this host; the worker's index is part of the sequence.
    AttemptId newAttempt();

    /// Sends \p dispatch to the dispatcher of its upstream; \p listener hears the answers until forget().
    void dispatch(Wire::DispatchT &&dispatch, AttemptListener &listener);
    void cancel(Wire::CancelT &&cancel);
    void setFlow(Wire::FlowT &&flow);
    /// Asks for a probe over a new connection to the dispatcher; returns the number that the answer carries.
    std::uint64_t probe(const UpstreamId &upstream, AttemptListener &listener);
    /// Sends \p call to the upstream's dispatcher; the answer carries the returned number. forgetCall() ends the waiting.
    std::uint64_t callReservation(Wire::ReservationCallT &&call, AttemptListener &listener);
    /// Sends a release, which gets no answer.
    void releaseReservation(Wire::ReservationCallT &&call);
    void forget(const AttemptId &attempt);
    void forgetCall(std::uint64_t call);

    /// Takes over an accepted traffic connection whose Hello was read.
    void adopt(boost::asio::ip::tcp::socket socket, const HostId &peer);

    /// Messages for dispatchers pinned to this thread.
    void handleDispatch(Wire::DispatchT &&dispatch, std::shared_ptr<ReplyTarget> reply);
    void handleCancel(const Wire::CancelT &cancel);
    void handleFlow(const Wire::FlowT &flow);
    void handleProbe(const Wire::ProbeCallT &probe, const std::shared_ptr<ReplyTarget> &reply);
    void handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply);
    void handleEntryLost(const ReplyTarget *reply);
    /// Feeds \p event to the dispatcher of \p upstream if it is pinned here and owned by this host.
    void handleDispatcherEvent(const UpstreamId &upstream, const DispatcherInput &event);

    /// Carries out what the crash quarantine decided, for the dispatchers pinned here.
    void handleReleaseFailure(const RequestFingerprint &fingerprint);
    void handleStopCopy(const RequestFingerprint &fingerprint, const UpstreamId &upstream);

    /// Answers to this thread's sessions.
    void handleAnswer(const Wire::PeerMessageT &message);

    /// Closes the callers' listener; sessions in progress finish.
    void stopAccepting();

    /// Counts a session for graceful stops while the guard lives.
    class SessionGuard
    {
    public:
        SessionGuard(TrafficWorker &worker, TimePoint deadline);
        ~SessionGuard();
        SessionGuard(const SessionGuard &) = delete;
        SessionGuard &operator=(const SessionGuard &) = delete;

    private:
        TrafficWorker &m_worker;
    };

private:
    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;
    void upstreamStateChanged(const UpstreamId &upstream, UpstreamState from, UpstreamState to) override;
    void sendHandOver(const HandOverMessage &message) override;
    void capExceeded(std::uint32_t requests) override;
    SharedQuarantine &quarantine() override;
    void recordSpan(Span &&span) override;

    void sendToDispatcher(const UpstreamId &upstream, Wire::PeerMessageT &&message);
    void deliverLocally(const UpstreamId &upstream, Wire::PeerMessageT &&message, std::shared_ptr<ReplyTarget> reply);
    PeerLink &linkTo(const HostId &host);
    void reportLinkBroken(const HostId &host);
    void updateDispatchers();
    DispatcherRuntime *dispatcherOf(const UpstreamId &upstream);
    void scheduleTick();
    void tick();

    std::size_t m_index;
    HostContext &m_host;
    TrafficPool &m_pool;
    ControlGateway &m_control;
    Log m_log;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const ControlSnapshot> m_snapshot;
    EntryRouter m_router;
    std::unique_ptr<CallerHandler> m_callerHandler;
    std::unique_ptr<HttpListener> m_listener;
    std::shared_ptr<ReplyTarget> m_localReply;
    std::map<HostId, std::shared_ptr<PeerLink>> m_links;
    std::map<std::shared_ptr<PeerConnection>, std::shared_ptr<ReplyTarget>> m_inbound;
    std::unordered_map<UpstreamId, std::unique_ptr<DispatcherRuntime>> m_dispatchers;
    std::set<UpstreamId> m_released; ///< Dispatchers that were given up and still have work.
    struct Target {
        AttemptListener *listener = nullptr;
        HostId host; ///< Host of the dispatcher; this host's own id for local ones.
    };
    std::unordered_map<AttemptId, Target> m_attempts;
    std::map<std::uint64_t, Target> m_probes;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastProbe = 0;
    std::uint32_t m_ticks = 0;
    std::size_t m_sessions = 0;
    TimePoint m_latestDeadline;
    std::thread m_thread;
};

}
