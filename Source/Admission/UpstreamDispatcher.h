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
 * \brief Queues, admits and sends all work of one upstream; runs on the upstream's owner only.
 *
 * Every enqueued attempt ends once: by Finished after Send, by Refuse (also after a failure or a cancel in the queue), by
 * the end at the upstream after CancelUpstream, or by ReturnToEntry. A send never exceeds the caps, counting what a former
 * owner may still run and requests that the upstream reports but that nobody here sent.
 *
 * Short prompts go first; a part of the caps is closed to long ones. One long prompt at a time is in prefill. A long
 * prompt whose time left is twice the time it needs is due: it goes before all others, and while it is in prefill short
 * ones get at most a third of the prefill rate.
 */
class UpstreamDispatcher
{
public:
    UpstreamDispatcher(const UpstreamSpec &spec, const Preset &preset);

    /// Applies another preset's queue bound and weights. A baseline routing policy puts all prompts into one class.
    void setPreset(const Preset &preset);

    /// Times may not decrease.
    std::vector<DispatcherOutput> handle(TimePoint now, const DispatcherInput &event);

    LoadSummary summary() const;
    const InFlightTable &inFlight() const;

    /// Requests that the upstream reports beyond those known here; counted by a metric.
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
    void releaseCancelled(TimePoint sampledAt, std::uint32_t reported);
    void refuse(const AttemptId &attempt, ErrorKind kind);
    void refuseQueued(ErrorKind kind);
    void sendHandOver();

    bool makeRoom(TimePoint now, const QueuedAttempt &newcomer);
    void shedHopeless(TimePoint now);
    Seconds timeNeeded(const QueuedAttempt &attempt) const;
    Seconds waitBehind(std::size_t requests, std::uint64_t tokens) const;
    bool meetsDeadline(TimePoint now, const QueuedAttempt &attempt, std::size_t requestsAhead, std::uint64_t tokensAhead) const;
    bool isDue(TimePoint now, const QueuedAttempt &attempt) const;

    void sendWhilePossible(TimePoint now);
    bool sendNext(TimePoint now);
    const QueuedAttempt *dueLong(TimePoint now) const;
    const QueuedAttempt *nextShort(TimePoint now) const;
    bool fits(const QueuedAttempt &attempt, std::uint32_t reservedRequests, std::uint64_t reservedTokens) const;
    bool longMayStart(const QueuedAttempt &attempt) const;
    bool shortsHeldBack(TimePoint now) const;
    bool isDueLongInPrefill(TimePoint now) const;
    std::uint64_t largestPrompt() const;
    int enginePriority(TimePoint now, const QueuedAttempt &attempt) const;
    Duration latencyLimit(const QueuedAttempt &attempt) const;
    void send(TimePoint now, const AttemptId &attempt);

    UpstreamSpec m_spec;
    Preset m_preset;
    UpstreamHealth m_health;
    DispatchQueue m_queue;
    InFlightTable m_inFlight;
    PrefillRateMeter m_rate;
    FormerOwnerWork m_former;
    CountWindow m_counts;
    std::uint32_t m_unexplained = 0;
    Seconds m_residence{0};
    Seconds m_decode{0}; ///< Mean time from first to last token.
    TimePoint m_shortsHeldUntil;
    bool m_released = false;
    std::vector<DispatcherOutput> m_actions;
};

}
