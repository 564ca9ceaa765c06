#pragma once

#include "Admission/UpstreamDispatcher.h"
#include "Daemon/EngineKvRuntime.h"
#include "Daemon/ReplyTarget.h"
#include "Daemon/UpstreamExchange.h"
#include "Daemon/UpstreamMonitor.h"
#include "Http/UpstreamConnectionPool.h"
#include "Streams/CrashNotice.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Mangofall {

class DispatcherEnvironment;

/**
 * \class DispatcherRuntime
 * \brief Runs the dispatcher of one upstream: turns messages and answers into its events and carries out its actions.
 *
 * Lives on the traffic thread to which the upstream is pinned.
 */
class DispatcherRuntime : public UpstreamExchangeObserver
{
public:
    /// \p environment must outlive the runtime.
    DispatcherRuntime(boost::asio::io_context &context, const UpstreamSpec &spec, const Preset &preset, DispatcherEnvironment &environment);
    ~DispatcherRuntime() override;
    DispatcherRuntime(const DispatcherRuntime &) = delete;
    DispatcherRuntime &operator=(const DispatcherRuntime &) = delete;

    void handleDispatch(Wire::DispatchT &&dispatch, std::shared_ptr<ReplyTarget> reply);
    void handleCancel(const Wire::CancelT &cancel);
    void handleFlow(const Wire::FlowT &flow);
    void handleProbe(std::uint64_t call, const std::shared_ptr<ReplyTarget> &reply);

    /// Handles a call on a memory reservation; does nothing for plain services.
    void handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply);

    /// Passes an event to the dispatcher, such as a takeover, a service change or a tick, and carries out the resulting actions.
    void handle(const DispatcherInput &event);
    void setPreset(const Preset &preset);
    void setOutOfService(bool out);

    /// Called when an entry host's connection was lost; its attempts are cancelled unless they are resumed within a grace period.
    void handleEntryLost(const ReplyTarget *reply);

    /// Reports the deferred failure of a request to its entry host; called once the peers know that the request was running when an upstream crashed.
    void releaseFailure(const RequestFingerprint &fingerprint);
    /// Cancels the attempts of a request suspected of crashing upstreams, except one that runs isolated.
    void stopCopy(const RequestFingerprint &fingerprint);

    LoadSummary summary() const;
    /// True if no attempts are queued or running.
    bool idle() const;

    void answerStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType) override;
    void firstTokenReceived(const AttemptId &attempt) override;
    void dataReceived(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data) override;
    void exchangeEnded(const UpstreamExchangeResult &result) override;

private:
    /// An attempt that is queued here or runs at the upstream.
    struct AttemptState {
        std::shared_ptr<const Wire::DispatchT> dispatch;
        std::shared_ptr<ReplyTarget> reply;
        std::shared_ptr<UpstreamExchange> exchange; ///< Null while queued, and after the connection was closed while the upstream still counts the attempt.
        TimePoint deadline;
        int enginePriority = 0;
        bool sent = false;
        RequestFingerprint fingerprint; ///< Empty for plain services.
        std::optional<TimePoint> abandonedAt; ///< When the entry host's connection was lost.
    };

    /// An attempt whose answer was interrupted; reported once it is known whether the upstream crashed and, if so, the peers were told.
    struct DeferredFailure {
        AttemptState state;
        UpstreamExchangeResult result;
        TimePoint deferredAt;
        bool runEndReported = false; ///< The quarantine was told that the run has ended.
        bool crashed = false;
    };

    /// A request suspected of crashing upstreams that waits until no other attempt is queued or runs here.
    struct PendingIsolated {
        Wire::DispatchT dispatch;
        std::shared_ptr<ReplyTarget> reply;
        TimePoint waitingSince;
    };

    /// Returns false if the crash quarantine prevents the request from running here now; it was then refused or waits to run isolated.
    bool mayRun(Wire::DispatchT &dispatch, const RequestFingerprint &fingerprint, const std::shared_ptr<ReplyTarget> &reply);
    void admit(Wire::DispatchT &&message, const RequestFingerprint &fingerprint, std::shared_ptr<ReplyTarget> reply);
    void admitPendingIsolated(TimePoint now);
    /// Postpones reporting a failure until a probe shows whether the upstream crashed.
    void deferFailure(const AttemptId &attempt, const UpstreamExchangeResult &result);
    /// Reports a crash of the upstream to the quarantine, or reports the deferred failures to their entry hosts if it did not crash.
    void classifyDeferredFailures(bool crashed);
    void releaseExpiredFailures(TimePoint now);
    /// Reports the matching deferred failures to their entry hosts.
    template<class Predicate>
    void releaseFailuresIf(Predicate predicate);
    /// Tells the quarantine that the run of an attempt ended.
    void reportRunEnded(const AttemptState &state, bool completed);

    void process(const std::vector<DispatcherOutput> &outputs);
    void on(const DispatcherAction::Send &action);
    void on(const DispatcherAction::Refuse &action);
    void on(const DispatcherAction::CancelUpstream &action);
    void on(const DispatcherAction::StateChanged &action);
    void on(const DispatcherAction::ReturnToEntry &action);
    void on(const DispatcherAction::HandOver &action);

    void startExchange(AttemptState &state);
    void resume(AttemptState &state, std::shared_ptr<const Wire::DispatchT> dispatch, std::shared_ptr<ReplyTarget> reply);
    void endAttempt(const AttemptId &attempt, const UpstreamExchangeResult &result, ErrorKind error);
    void sendEnd(const AttemptState &state, const UpstreamExchangeResult &result, ErrorKind error);
    void reportLoad(const std::optional<DispatcherEvent::LoadReported> &report);
    void cancelAbandoned(TimePoint now);
    /// Tells the upstream to stop an attempt, which it knows as \p name; the attempt counts as ended once the upstream confirmed it.
    void stopAtUpstream(const AttemptId &attempt, const std::string &name);

    boost::asio::io_context &m_context;
    UpstreamSpec m_spec;
    DispatcherEnvironment &m_environment;
    UpstreamDispatcher m_dispatcher;
    std::shared_ptr<UpstreamConnectionPool> m_pool;
    std::shared_ptr<UpstreamMonitor> m_monitor;
    std::shared_ptr<EngineKvRuntime> m_kvRuntime; ///< Null for plain services.
    std::unordered_map<AttemptId, AttemptState> m_attempts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<DeferredFailure> m_deferredFailures;
    std::optional<PendingIsolated> m_pendingIsolated;
    std::optional<AttemptId> m_isolated; ///< Attempt of a suspected request that runs while no other does.
    std::uint64_t m_epoch = 0; ///< From the last load report.
    bool m_outOfService = false;
    bool m_responsive = true;
    std::uint32_t m_failedPolls = 0;
};

}
