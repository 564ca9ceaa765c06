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
 * \brief Drives the dispatcher of one upstream: turns messages and answers into its events and carries out its actions.
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

    void handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply);

    /// Feeds an event from outside: takeover, service changes, ticks.
    void handle(const DispatcherInput &event);
    void setPreset(const Preset &preset);
    void setOutOfService(bool out);

    /// The entry host's connection is gone; its attempts are cancelled unless they are resumed within a grace period.
    void handleEntryLost(const ReplyTarget *reply);

    /// The peers know that the request was running when an upstream crashed; its failure may be told to the entry host.
    void releaseFailure(const RequestFingerprint &fingerprint);
    /// Cancels a copy of a request that is under suspicion.
    void stopCopy(const RequestFingerprint &fingerprint);

    LoadSummary summary() const;
    bool idle() const;

    void runStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType) override;
    void runFirstToken(const AttemptId &attempt) override;
    void runData(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data) override;
    void runEnded(const UpstreamExchangeResult &result) override;

private:
    struct Leg {
        std::shared_ptr<const Wire::DispatchT> dispatch;
        std::shared_ptr<ReplyTarget> reply;
        std::shared_ptr<UpstreamExchange> run; ///< Null while queued, and after the run ended but the upstream still counts it.
        TimePoint deadline;
        int enginePriority = 0;
        bool sent = false;
        RequestFingerprint fingerprint; ///< Empty for plain services.
        std::optional<TimePoint> abandonedAt; ///< When the entry host's connection was lost.
    };

    /// A leg whose answer broke off, until it is known whether the upstream crashed and the peers were told.
    struct HeldFailure {
        Leg leg;
        UpstreamExchangeResult result;
        TimePoint since;
        bool judged = false; ///< The quarantine knows that the run has ended.
        bool crashed = false;
    };

    /// A suspect that waits until nothing else runs here.
    struct PendingAlone {
        Wire::DispatchT dispatch;
        std::shared_ptr<ReplyTarget> reply;
        TimePoint since;
    };

    /// False if the crash quarantine keeps the request from running here now; it was answered or is kept for later.
    bool mayRun(Wire::DispatchT &dispatch, const RequestFingerprint &fingerprint, const std::shared_ptr<ReplyTarget> &reply);
    void admit(Wire::DispatchT &&message, const RequestFingerprint &fingerprint, std::shared_ptr<ReplyTarget> reply);
    void admitPendingAlone(TimePoint now);
    void holdFailure(const AttemptId &attempt, const UpstreamExchangeResult &result);
    void judgeHeldFailures(bool crashed);
    void releaseHeld(TimePoint now);
    /// Tells the entry hosts of the held failures that match.
    template<class Predicate>
    void releaseWhere(Predicate predicate);
    void noteRunEnded(const Leg &leg, bool completed);

    void process(const std::vector<DispatcherOutput> &outputs);
    void on(const DispatcherAction::Send &action);
    void on(const DispatcherAction::Refuse &action);
    void on(const DispatcherAction::CancelUpstream &action);
    void on(const DispatcherAction::StateChanged &action);
    void on(const DispatcherAction::ReturnToEntry &action);
    void on(const DispatcherAction::HandOver &action);

    void startRun(Leg &leg);
    void resume(Leg &leg, std::shared_ptr<const Wire::DispatchT> dispatch, std::shared_ptr<ReplyTarget> reply);
    void endLeg(const AttemptId &attempt, const UpstreamExchangeResult &result, ErrorKind error);
    void sendEnd(const Leg &leg, const UpstreamExchangeResult &result, ErrorKind error);
    void reportLoad(const std::optional<DispatcherEvent::LoadReported> &report);
    void cancelAbandoned(TimePoint now);
    /// Tells the upstream to stop an attempt, there called \p name; its end counts once the upstream confirmed it.
    void stopAtUpstream(const AttemptId &attempt, const std::string &name);

    boost::asio::io_context &m_context;
    UpstreamSpec m_spec;
    DispatcherEnvironment &m_environment;
    UpstreamDispatcher m_dispatcher;
    std::shared_ptr<UpstreamConnectionPool> m_pool;
    std::shared_ptr<UpstreamMonitor> m_monitor;
    std::shared_ptr<EngineKvRuntime> m_kv; ///< Null for plain services.
    std::unordered_map<AttemptId, Leg> m_legs;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<HeldFailure> m_held;
    std::optional<PendingAlone> m_pendingAlone;
    std::optional<AttemptId> m_alone; ///< A suspect that runs alone here.
    std::uint64_t m_epoch = 0; ///< From the last load report.
    bool m_outOfService = false;
    bool m_responsive = true;
    std::uint32_t m_failedPolls = 0;
};

}
