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
 * \brief One traffic thread with its callers' sessions, its connections to peers and the dispatchers pinned to it.
 *
 * Functions are called on the worker's thread unless their comment names another one.
 */
class TrafficWorker : public PeerMessageHandler, public DispatcherEnvironment
{
public:
    TrafficWorker(std::size_t index, HostContext &host, TrafficPool &pool, ControlGateway &control);
    ~TrafficWorker() override;
    TrafficWorker(const TrafficWorker &) = delete;
    TrafficWorker &operator=(const TrafficWorker &) = delete;

    /// Binds the callers' listener. Must be called before start().
    std::error_code listen();
    std::uint16_t callerPort() const;
    /// Starts the thread. May be called on any thread.
    void start();
    /// Stops the event loop and joins the thread. May be called on any other thread.
    void stop();

    /// May be used on any thread, to post work.
    boost::asio::io_context &context();

    void setSnapshot(std::shared_ptr<const ControlSnapshot> snapshot);
    const ControlSnapshot &snapshot() const;
    EntryRouter &router();
    HostContext &host();
    ControlGateway &control();

    /// Returns a new attempt id of this host; the worker's index is part of its sequence.
    AttemptId newAttempt();

    /// Sends \p dispatch to the dispatcher of its upstream; \p listener receives the answers until forget().
    void dispatch(Wire::DispatchT &&dispatch, AttemptListener &listener);
    void cancel(Wire::CancelT &&cancel);
    void setFlow(Wire::FlowT &&flow);
    /// Probes the upstream through its dispatcher, over a new connection if that is on another host.
    /// Returns the call number that the answer carries; nothing is sent if the dispatcher is unknown.
    std::uint64_t probe(const UpstreamId &upstream, AttemptListener &listener);
    /// Sends \p call to the upstream's dispatcher and returns the call number that the answer carries.
    /// \p listener receives the answer unless forgetCall() was called first.
    std::uint64_t callReservation(Wire::ReservationCallT &&call, AttemptListener &listener);
    /// Sends the release of a memory reservation, which gets no answer.
    void releaseReservation(Wire::ReservationCallT &&call);
    /// Stops passing on the answers to \p attempt.
    void forget(const AttemptId &attempt);
    /// Stops waiting for the answer to a probe or reservation call.
    void forgetCall(std::uint64_t call);

    /// Takes over an accepted traffic connection whose Hello message was read.
    void adopt(boost::asio::ip::tcp::socket socket, const HostId &peer);

    /// Passes a message to the dispatcher of the upstream that it names, which is pinned to this thread.
    void handleDispatch(Wire::DispatchT &&dispatch, std::shared_ptr<ReplyTarget> reply);
    void handleCancel(const Wire::CancelT &cancel);
    void handleFlow(const Wire::FlowT &flow);
    void handleProbe(const Wire::ProbeCallT &probe, const std::shared_ptr<ReplyTarget> &reply);
    void handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply);
    /// Reports to the dispatchers pinned to this thread that the connection of an entry host was lost.
    void handleEntryLost(const ReplyTarget *reply);
    /// Passes \p event to the dispatcher of \p upstream if this thread runs it.
    void handleDispatcherEvent(const UpstreamId &upstream, const DispatcherInput &event);

    /// Carries out a decision of the crash quarantine for the dispatchers pinned to this thread.
    void handleReleaseFailure(const RequestFingerprint &fingerprint);
    void handleStopCopy(const RequestFingerprint &fingerprint, const UpstreamId &upstream);

    /// Passes an answer on to the session of this thread that waits for it.
    void handleAnswer(const Wire::PeerMessageT &message);

    /// Closes the callers' listener; sessions in progress finish.
    void stopAccepting();

    /// Counts a session as active while the guard exists, so that a graceful stop waits for its end or its deadline.
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
    std::set<UpstreamId> m_released; ///< Dispatchers whose ownership was released; kept until they are idle.
    struct Recipient {
        AttemptListener *listener = nullptr;
        HostId host; ///< Host of the dispatcher, also if it is this host; empty for reservation calls and without a known owner.
    };
    std::unordered_map<AttemptId, Recipient> m_attempts;
    std::map<std::uint64_t, Recipient> m_calls;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastCall = 0;
    std::uint32_t m_ticks = 0;
    std::size_t m_sessions = 0;
    TimePoint m_latestDeadline;
    std::thread m_thread;
};

}
