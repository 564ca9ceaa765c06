#pragma once

#include "Admission/CountWindow.h"
#include "Admission/DispatchQueue.h"
#include "Admission/DispatcherActions.h"
#include "Admission/DispatcherEvents.h"
#include "Admission/FormerOwnerWork.h"
#include "Admission/InFlightTable.h"
#include "Admission/LoadSummary.h"
#include "Admission/PrefillRateMeter.h"
#include "Admission/UpstreamHealth.h"
#include "Base/Time.h"
#include "Config/Preset.h"
#include "Config/UpstreamSpec.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/**
 * \class UpstreamDispatcher
 * \brief Queues, admits and sends all attempts of one upstream. Runs on the upstream's owner only.
 *
 * Every enqueued attempt ends exactly once: by Finished after Send, by Refuse (also after a failure or a cancel in the
 * queue), by its end at the upstream after CancelUpstream, or by ReturnToEntry. A send never exceeds the caps; requests
 * that the former owner may still run and requests that the upstream reports but this host does not know count against
 * them.
 *
 * Short prompts are sent first; a part of the caps is reserved for them. At most one long prompt is in prefill at a time. A
 * long prompt is urgent once the time to its deadline is at most twice the time that it needs, plus a margin. An urgent
 * prompt is sent before all others, and while it is in prefill, short and medium prompts get at most a third of the
 * prefill rate.
 */
class UpstreamDispatcher
{
public:
    UpstreamDispatcher(const UpstreamSpec &spec, const Preset &preset);

    /// Applies the queue limit and weights of \p preset. Routing policies other than EstimatedFirstToken, which serve as
    /// baselines, put all prompts into one length class.
    void setPreset(const Preset &preset);

    /// Handles \p event and returns the actions to perform, in order. Times must not decrease.
    std::vector<DispatcherOutput> handle(TimePoint now, const DispatcherInput &event);

    LoadSummary summary() const;
    const InFlightTable &inFlight() const;

    /// The number of requests that the upstream reports beyond those that this host knows; a metric counts them.
    std::uint32_t unknownRequests() const;

private:
    using Entry = InFlightTable::Entry;

    void on(TimePoint now, const DispatcherEvent::Enqueued &event);
    void on(TimePoint now, const DispatcherEvent::CancelRequested &event);
    void on(TimePoint now, const DispatcherEvent::Started &event);
    void on(TimePoint now, const DispatcherEvent::FirstToken &event);
    void on(TimePoint now, const DispatcherEvent::Finished &event);
    void on(TimePoint now, const DispatcherEvent::Failed &event);
    void on(TimePoint now, const DispatcherEvent::LoadReported &event);
    void on(TimePoint now, const DispatcherEvent::Unresponsive &event);
    void on(TimePoint now, const DispatcherEvent::ProbeSucceeded &event);
    void on(TimePoint now, const DispatcherEvent::TakenOutOfService &event);
    void on(TimePoint now, const DispatcherEvent::ReturnedToService &event);
    void on(TimePoint now, const DispatcherEvent::UpstreamLeaving &event);
    void on(TimePoint now, const DispatcherEvent::OwnershipReleased &event);
    void on(TimePoint now, const DispatcherEvent::TakeoverBegan &event);
    void on(TimePoint now, const DispatcherEvent::HandOverReceived &event);
    void on(TimePoint now, const DispatcherEvent::FormerOwnerDead &event);
    void on(TimePoint now, const DispatcherEvent::Tick &event);

    void endPrefill(TimePoint now, Entry &entry, bool completed);
    void releaseUnconfirmedCancels(TimePoint sampledAt, std::uint32_t reported);
    void refuse(const AttemptId &attempt, ErrorKind kind);
    void refuseQueued(ErrorKind kind);
    void sendHandOver();

    bool makeQueueSpace(TimePoint now, const QueuedAttempt &incoming);
    void dropAttemptsMissingDeadlines(TimePoint now);
    Seconds estimateServiceTime(const QueuedAttempt &attempt) const;
    Seconds estimateWait(std::size_t requests, std::uint64_t tokens) const;
    bool meetsDeadline(TimePoint now, const QueuedAttempt &attempt, std::size_t requestsAhead, std::uint64_t tokensAhead) const;
    bool isUrgent(TimePoint now, const QueuedAttempt &attempt) const;

    void sendWhilePossible(TimePoint now);
    bool sendNext(TimePoint now);
    const QueuedAttempt *nextUrgentLong(TimePoint now) const;
    const QueuedAttempt *nextShortOrMedium(TimePoint now) const;
    bool fits(const QueuedAttempt &attempt, std::uint32_t reservedRequests, std::uint64_t reservedTokens) const;
    bool canStartLong(const QueuedAttempt &attempt) const;
    bool shortPromptsDeferred(TimePoint now) const;
    bool isUrgentLongInPrefill(TimePoint now) const;
    std::uint64_t maxAdmissiblePrompt() const;
    int enginePriority(TimePoint now, const QueuedAttempt &attempt) const;
    Duration latencyLimit(const QueuedAttempt &attempt) const;
    void send(TimePoint now, const AttemptId &attempt);

    UpstreamSpec m_spec;
    Preset m_preset;
    UpstreamHealth m_health;
    DispatchQueue m_queue;
    InFlightTable m_inFlight;
    PrefillRateMeter m_prefillRateMeter;
    FormerOwnerWork m_formerOwnerWork;
    CountWindow m_inFlightCounts;
    std::uint32_t m_unknownRequests = 0;
    Seconds m_meanResidenceTime{0};
    Seconds m_meanDecodeTime{0}; ///< Mean time from first to last token.
    TimePoint m_shortPromptsDeferredUntil;
    bool m_ownershipReleased = false;
    std::vector<DispatcherOutput> m_actions;
};

}
