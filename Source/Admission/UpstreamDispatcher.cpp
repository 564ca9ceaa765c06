#include "Admission/UpstreamDispatcher.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Mangofall {

namespace {

using namespace std::chrono_literals;

constexpr int shortPriority = 100;
constexpr int mediumPriority = 90;
constexpr int urgentPriority = 110;
constexpr int longPriority = 10;
constexpr int maxLongUrgencyBonus = 70; ///< Added to longPriority in proportion to the time needed divided by the time left.

// A long prompt is urgent when the time to its deadline is at most this multiple of the time that it needs (plus the
// margin), so that it still finishes in time at half the prefill rate.
constexpr double urgentRatio = 2;
constexpr Seconds urgentMargin{1};
// While an urgent long prompt is in prefill, a shorter one defers the next one by this multiple of its own prefill time.
// With 2, the long prompt got only 45% of the prefill rate, because of the gaps between prompts, and missed its deadline.
constexpr double deferralRatio = 3;
// A first token that takes longer than this multiple of the expected time, plus a slack for the network, counts as overload.
constexpr double lateFirstTokenRatio = 3;
constexpr Duration networkSlack = 500ms;
// The part of the caps that is closed to long prompts if shortWeight is 1.
constexpr double maxShortReserve = 0.25;
// With a smaller request cap, a slot reserved for a long prompt would be too large a part of the cap.
constexpr std::uint32_t minRequestCapForLongSlot = 4;
constexpr double meanSmoothing = 0.1;
// A cancelled attempt whose end the upstream does not confirm is dropped after this time if load reports show fewer requests
// than are counted here.
constexpr Duration cancelConfirmationTimeout = 2s;

void updateMean(Seconds &mean, Duration sample)
{
    mean = mean == Seconds::zero() ? Seconds(sample) : mean + meanSmoothing * (Seconds(sample) - mean);
}

bool hasSmallerId(const AttemptId &left, const AttemptId &right)
{
    return std::tie(left.host, left.incarnation, left.sequence) < std::tie(right.host, right.incarnation, right.sequence);
}

bool isNewer(const QueuedAttempt &left, const QueuedAttempt &right)
{
    return left.arrival != right.arrival ? left.arrival > right.arrival : left.attempt.sequence > right.attempt.sequence;
}

}

UpstreamDispatcher::UpstreamDispatcher(const UpstreamSpec &spec, const Preset &preset)
    : m_spec(spec)
    , m_preset(preset)
    , m_health(spec)
    , m_queue(preset.queueLimit)
{
}

void UpstreamDispatcher::setPreset(const Preset &preset)
{
    m_preset = preset;
    m_queue.setLimit(preset.queueLimit);
}

std::vector<DispatcherOutput> UpstreamDispatcher::handle(TimePoint now, const DispatcherInput &event)
{
    const UpstreamState before = m_health.state();
    std::visit(
        [&](const auto &typed) {
            on(now, typed);
        },
        event);
    const UpstreamState after = m_health.state();
    if (after != before) {
        m_actions.emplace_back(DispatcherAction::StateChanged{before, after});
    }
    if (!acceptsWork(after)) {
        refuseQueued(ErrorKind::NoUpstream);
    }
    sendWhilePossible(now);
    m_prefillRateMeter.updateTokensInPrefill(now, m_inFlight.prefillTokens());
    m_inFlightCounts.record(now, m_inFlight.size());
    return std::exchange(m_actions, {});
}

LoadSummary UpstreamDispatcher::summary() const
{
    LoadSummary summary;
    summary.upstream = m_spec.id;
    summary.state = m_health.state();
    summary.caps = m_health.caps();
    summary.inFlightRequests = m_inFlight.size() + m_formerOwnerWork.requests() + m_unknownRequests;
    summary.queuedRequests = static_cast<std::uint32_t>(m_queue.size());
    for (const LengthClass lengthClass : {LengthClass::Short, LengthClass::Medium, LengthClass::Long}) {
        summary.inFlightPrefillTokens[indexOf(lengthClass)] = m_inFlight.prefillTokens(lengthClass);
        summary.queuedPrefillTokens[indexOf(lengthClass)] = m_queue.tokens(lengthClass);
    }
    summary.inFlightPrefillTokens[indexOf(LengthClass::Medium)] += m_formerOwnerWork.prefillTokens();
    summary.prefillRate = m_prefillRateMeter.rate();
    summary.residence = m_meanResidenceTime;
    return summary;
}

const InFlightTable &UpstreamDispatcher::inFlight() const
{
    return m_inFlight;
}

std::uint32_t UpstreamDispatcher::unknownRequests() const
{
    return m_unknownRequests;
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Enqueued &event)
{
    QueuedAttempt attempt = event.attempt;
    if (m_queue.contains(attempt.attempt) || m_inFlight.find(attempt.attempt) != nullptr) {
        return;
    }
    if (m_preset.routing != RoutingPolicy::EstimatedFirstToken) {
        attempt.lengthClass = LengthClass::Short;
    }
    if (m_ownershipReleased) {
        m_actions.emplace_back(DispatcherAction::ReturnToEntry{attempt.attempt});
    } else if (!acceptsWork(m_health.state())) {
        refuse(attempt.attempt, ErrorKind::NoUpstream);
    } else if (attempt.uncachedTokens > m_spec.maxPrefillTokens || attempt.promptTokens > m_spec.memoryTokens) {
        refuse(attempt.attempt, ErrorKind::PromptNeverFits);
    } else {
        auto [requestsAhead, tokensAhead] = m_queue.aheadInLane(attempt);
        for (std::size_t lane = 0; lane < indexOf(attempt.lengthClass); ++lane) {
            requestsAhead += m_queue.size(static_cast<LengthClass>(lane));
            tokensAhead += m_queue.tokens(static_cast<LengthClass>(lane));
        }
        if (!meetsDeadline(now, attempt, requestsAhead, tokensAhead)) {
            refuse(attempt.attempt, ErrorKind::DeadlineUnreachable);
        } else if (!makeQueueSpace(now, attempt)) {
            refuse(attempt.attempt, ErrorKind::QueueFull);
        } else {
            m_queue.push(attempt);
        }
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::CancelRequested &event)
{
    if (m_queue.remove(event.attempt)) {
        refuse(event.attempt, ErrorKind::Cancelled);
    } else if (Entry *entry = m_inFlight.find(event.attempt); entry != nullptr && !entry->cancelledAt) {
        entry->cancelledAt = now;
        m_actions.emplace_back(DispatcherAction::CancelUpstream{event.attempt});
    }
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::Started &)
{
    // Counts and latency are measured from the send. The start matters only to the session of the stream.
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::FirstToken &event)
{
    if (Entry *entry = m_inFlight.find(event.attempt); entry != nullptr && entry->prefilling) {
        endPrefill(now, *entry, true);
    }
    if (m_ownershipReleased) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Finished &event)
{
    m_formerOwnerWork.recordEnd(event.attempt);
    Entry *entry = m_inFlight.find(event.attempt);
    if (entry == nullptr) {
        return;
    }
    if (entry->prefilling) {
        // An answer that is not streamed has no first token event; the prefill of a cancelled attempt counts as not completed.
        endPrefill(now, *entry, !entry->cancelledAt);
    }
    const Entry ended = *m_inFlight.remove(event.attempt);
    if (!ended.cancelledAt) {
        updateMean(m_meanResidenceTime, now - ended.sentAt);
        updateMean(m_meanDecodeTime, now - ended.firstTokenAt.value_or(now));
        if (ended.goodLatency && m_formerOwnerWork.isKnown()) {
            m_health.recordCompletion(ended.sentAt, ended.attempt.uncachedTokens);
        }
    }
    if (m_ownershipReleased) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Failed &event)
{
    m_formerOwnerWork.recordEnd(event.attempt);
    Entry *entry = m_inFlight.find(event.attempt);
    if (entry == nullptr) {
        return;
    }
    if (entry->prefilling) {
        endPrefill(now, *entry, false);
    }
    const Entry ended = *m_inFlight.remove(event.attempt);
    const bool nothingRan = event.failure != DispatcherEvent::Failure::Interrupted;
    if (event.failure == DispatcherEvent::Failure::ConnectionRefused) {
        m_health.recordConnectionRefused(now);
    } else if (!ended.cancelledAt) {
        // The upstream ends a cancelled attempt because it was asked to, so its failure is no sign of overload.
        m_health.recordOverload(now, ended.sentAt);
    }
    const ErrorKind kind = ended.cancelledAt ? ErrorKind::Cancelled : nothingRan ? ErrorKind::UpstreamRefused : ErrorKind::UpstreamFailed;
    refuse(event.attempt, kind);
    if (m_ownershipReleased) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::LoadReported &event)
{
    m_health.recordLoadReport(now, event.epoch, event.uptime);
    if (event.lag >= CountWindow::length) {
        return;
    }
    const TimePoint sampledAt = now - event.lag;
    const std::uint32_t minimum = std::min(m_inFlightCounts.minimum(sampledAt), m_inFlight.size());
    const std::uint32_t maximum = std::max(m_inFlightCounts.maximum(sampledAt), m_inFlight.size());
    m_formerOwnerWork.recordLoadReport(sampledAt, event.inFlightRequests, minimum, maximum);
    const std::uint32_t known = maximum + m_formerOwnerWork.requests();
    m_unknownRequests = event.inFlightRequests > known ? event.inFlightRequests - known : 0;
    releaseUnconfirmedCancels(sampledAt, event.inFlightRequests);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::Unresponsive &)
{
    m_health.markUnresponsive();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::ProbeSucceeded &)
{
    m_health.recordProbeSuccess(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::TakenOutOfService &)
{
    m_health.takeOutOfService();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::ReturnedToService &)
{
    m_health.returnToService(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::UpstreamLeaving &)
{
    m_health.markLeaving();
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::OwnershipReleased &)
{
    m_ownershipReleased = true;
    for (const QueuedAttempt *attempt : m_queue.inOrder()) {
        m_actions.emplace_back(DispatcherAction::ReturnToEntry{attempt->attempt});
    }
    m_queue = DispatchQueue(m_preset.queueLimit);
    sendHandOver();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::TakeoverBegan &event)
{
    m_ownershipReleased = false;
    m_formerOwnerWork.beginTakeover(event.assumedRequests, event.assumedPrefillTokens);
    m_health.beginTakeover(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::HandOverReceived &event)
{
    if (event.message.upstream != m_spec.id) {
        return;
    }
    const bool first = !m_formerOwnerWork.isKnown();
    m_formerOwnerWork.applyHandOver(event.message);
    // The former owner's caps apply only if the upstream has not restarted since.
    if (first && event.message.epoch != 0 && event.message.epoch == m_health.epoch()) {
        m_health.adoptCaps(event.message.caps);
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::FormerOwnerDead &)
{
    m_formerOwnerWork.recordOwnerDeath(now);
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Tick &)
{
    std::vector<AttemptId> expired;
    for (const auto &[attempt, entry] : m_inFlight.entries()) {
        if (entry.attempt.deadline <= now && !entry.cancelledAt) {
            expired.push_back(attempt);
        }
    }
    std::sort(expired.begin(), expired.end(), hasSmallerId);
    for (const AttemptId &attempt : expired) {
        on(now, DispatcherEvent::CancelRequested{attempt});
    }
    dropAttemptsMissingDeadlines(now);
}

void UpstreamDispatcher::endPrefill(TimePoint now, Entry &entry, bool completed)
{
    m_inFlight.endPrefill(entry.attempt.attempt);
    if (!completed) {
        m_prefillRateMeter.discardSample();
        return;
    }
    m_prefillRateMeter.recordCompletion(entry.attempt.uncachedTokens);
    entry.firstTokenAt = now;
    entry.goodLatency = entry.latencyLimit == Duration::zero() || now - entry.sentAt <= entry.latencyLimit;
    if (!entry.goodLatency) {
        m_health.recordOverload(now, entry.sentAt);
    }
}

void UpstreamDispatcher::releaseUnconfirmedCancels(TimePoint sampledAt, std::uint32_t reported)
{
    std::vector<AttemptId> unconfirmed;
    for (const auto &[attempt, entry] : m_inFlight.entries()) {
        if (entry.cancelledAt && *entry.cancelledAt + cancelConfirmationTimeout <= sampledAt) {
            unconfirmed.push_back(attempt);
        }
    }
    std::sort(unconfirmed.begin(), unconfirmed.end(), hasSmallerId);
    for (const AttemptId &attempt : unconfirmed) {
        if (m_inFlight.size() + m_formerOwnerWork.requests() <= reported) {
            break;
        }
        if (Entry &entry = *m_inFlight.find(attempt); entry.prefilling) {
            endPrefill(sampledAt, entry, false);
        }
        m_inFlight.remove(attempt);
        refuse(attempt, ErrorKind::Cancelled);
    }
}

void UpstreamDispatcher::refuse(const AttemptId &attempt, ErrorKind kind)
{
    m_actions.emplace_back(DispatcherAction::Refuse{attempt, kind});
}

void UpstreamDispatcher::refuseQueued(ErrorKind kind)
{
    if (m_queue.size() == 0) {
        return;
    }
    for (const QueuedAttempt *attempt : m_queue.inOrder()) {
        refuse(attempt->attempt, kind);
    }
    m_queue = DispatchQueue(m_preset.queueLimit);
}

void UpstreamDispatcher::sendHandOver()
{
    HandOverMessage message{m_spec.id, m_health.epoch(), m_health.caps(), {}};
    for (const auto &[attempt, entry] : m_inFlight.entries()) {
        message.inFlight.push_back({attempt, entry.prefilling ? entry.attempt.uncachedTokens : 0});
    }
    std::sort(message.inFlight.begin(), message.inFlight.end(), [](const HandOverMessage::Item &left, const HandOverMessage::Item &right) {
        return hasSmallerId(left.attempt, right.attempt);
    });
    m_actions.emplace_back(DispatcherAction::HandOver{std::move(message)});
}

bool UpstreamDispatcher::makeQueueSpace(TimePoint now, const QueuedAttempt &incoming)
{
    if (m_queue.full()) {
        dropAttemptsMissingDeadlines(now);
    }
    if (m_queue.full()) {
        if (const auto evicted = m_queue.findEvictionCandidate(incoming)) {
            m_queue.remove(*evicted);
            refuse(*evicted, ErrorKind::QueueFull);
        }
    }
    return !m_queue.full();
}

void UpstreamDispatcher::dropAttemptsMissingDeadlines(TimePoint now)
{
    // Dropping one attempt may let older ones meet their deadlines, so only the newest attempt that cannot meet its deadline
    // is dropped before the others are checked again.
    while (true) {
        const QueuedAttempt *newest = nullptr;
        std::size_t requests = 0;
        std::uint64_t tokens = 0;
        for (const QueuedAttempt *attempt : m_queue.inOrder()) {
            if (!meetsDeadline(now, *attempt, requests, tokens) && (newest == nullptr || isNewer(*attempt, *newest))) {
                newest = attempt;
            }
            ++requests;
            tokens += attempt->uncachedTokens;
        }
        if (newest == nullptr) {
            return;
        }
        refuse(newest->attempt, newest->deadline <= now ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnreachable);
        m_queue.remove(AttemptId(newest->attempt));
    }
}

Seconds UpstreamDispatcher::estimateServiceTime(const QueuedAttempt &attempt) const
{
    const double rate = m_prefillRateMeter.rate();
    const Seconds prefill(rate > 0 ? static_cast<double>(attempt.uncachedTokens) / rate : 0);
    return prefill + m_meanDecodeTime;
}

Seconds UpstreamDispatcher::estimateWait(std::size_t requests, std::uint64_t tokens) const
{
    const double rate = m_prefillRateMeter.rate();
    const Seconds prefill(rate > 0 ? static_cast<double>(tokens) / rate : 0);
    const double cap = std::max<std::uint32_t>(m_health.caps().requests, 1);
    const double excess = static_cast<double>(requests + m_inFlight.size() + m_formerOwnerWork.requests() + m_unknownRequests) + 1 - cap;
    const Seconds slotWait = m_meanResidenceTime * (std::max(excess, 0.0) / cap);
    return std::max(prefill, slotWait);
}

bool UpstreamDispatcher::meetsDeadline(TimePoint now, const QueuedAttempt &attempt, std::size_t requestsAhead, std::uint64_t tokensAhead) const
{
    if (attempt.deadline <= now) {
        return false;
    }
    for (std::size_t lane = 0; lane <= indexOf(attempt.lengthClass); ++lane) {
        tokensAhead += m_inFlight.prefillTokens(static_cast<LengthClass>(lane));
    }
    return Seconds(attempt.deadline - now) >= estimateWait(requestsAhead, tokensAhead) + estimateServiceTime(attempt);
}

bool UpstreamDispatcher::isUrgent(TimePoint now, const QueuedAttempt &attempt) const
{
    return Seconds(attempt.deadline - now) <= urgentRatio * estimateServiceTime(attempt) + urgentMargin;
}

void UpstreamDispatcher::sendWhilePossible(TimePoint now)
{
    while (!m_ownershipReleased && acceptsWork(m_health.state()) && m_queue.size() > 0 && sendNext(now)) {
    }
}

bool UpstreamDispatcher::sendNext(TimePoint now)
{
    if (const QueuedAttempt *urgent = nextUrgentLong(now)) {
        // All other prompts wait until the urgent one fits.
        if (!fits(*urgent, 0, 0)) {
            return false;
        }
        send(now, urgent->attempt);
        return true;
    }
    if (const QueuedAttempt *next = nextShortOrMedium(now)) {
        send(now, next->attempt);
        return true;
    }
    const QueuedAttempt *next = m_queue.front(LengthClass::Long, maxAdmissiblePrompt());
    if (next == nullptr || !canStartLong(*next)) {
        return false;
    }
    send(now, next->attempt);
    return true;
}

const QueuedAttempt *UpstreamDispatcher::nextUrgentLong(TimePoint now) const
{
    const QueuedAttempt *next = m_queue.front(LengthClass::Long, maxAdmissiblePrompt());
    const bool noLongInPrefill = m_inFlight.prefilling(LengthClass::Long) == 0;
    return next != nullptr && noLongInPrefill && isUrgent(now, *next) ? next : nullptr;
}

const QueuedAttempt *UpstreamDispatcher::nextShortOrMedium(TimePoint now) const
{
    const std::uint64_t largest = maxAdmissiblePrompt();
    const QueuedAttempt *next = m_queue.front(LengthClass::Short, largest);
    const QueuedAttempt *medium = m_queue.front(LengthClass::Medium, largest);
    // The prompt with the higher ratio of waiting time to tokens goes first, so that short prompts do not starve medium ones.
    const auto slowdown = [&](const QueuedAttempt &attempt) {
        return Seconds(now - attempt.arrival).count() / static_cast<double>(attempt.uncachedTokens + 1);
    };
    if (next == nullptr || (medium != nullptr && slowdown(*medium) > slowdown(*next))) {
        next = medium;
    }
    if (next == nullptr || shortPromptsDeferred(now)) {
        return nullptr;
    }
    const bool reserveSlot = m_queue.front(LengthClass::Long, largest) != nullptr && m_inFlight.prefilling(LengthClass::Long) == 0
        && m_health.caps().requests >= minRequestCapForLongSlot;
    return fits(*next, reserveSlot ? 1 : 0, 0) ? next : nullptr;
}

bool UpstreamDispatcher::fits(const QueuedAttempt &attempt, std::uint32_t reservedRequests, std::uint64_t reservedTokens) const
{
    const Caps caps = m_health.caps();
    const std::uint64_t requests = std::uint64_t{1} + m_inFlight.size() + m_formerOwnerWork.requests() + m_unknownRequests + reservedRequests;
    const std::uint64_t tokens = m_inFlight.prefillTokens() + m_formerOwnerWork.prefillTokens() + attempt.uncachedTokens + reservedTokens;
    return requests <= caps.requests && tokens <= caps.prefillTokens && m_inFlight.promptTokens() + attempt.promptTokens <= m_spec.memoryTokens;
}

bool UpstreamDispatcher::canStartLong(const QueuedAttempt &attempt) const
{
    if (m_inFlight.prefilling(LengthClass::Long) > 0) {
        return false;
    }
    const Caps caps = m_health.caps();
    const double reserve = maxShortReserve * std::clamp(m_preset.shortWeight, 0.0, 1.0);
    auto tokens = static_cast<std::uint64_t>(reserve * static_cast<double>(caps.prefillTokens));
    if (attempt.uncachedTokens + tokens > caps.prefillTokens) {
        // Otherwise the largest prompts would wait until they are urgent.
        tokens = 0;
    }
    return fits(attempt, static_cast<std::uint32_t>(reserve * caps.requests), tokens);
}

bool UpstreamDispatcher::shortPromptsDeferred(TimePoint now) const
{
    if (!isUrgentLongInPrefill(now)) {
        return false;
    }
    const std::uint64_t others = m_inFlight.prefillTokens(LengthClass::Short) + m_inFlight.prefillTokens(LengthClass::Medium);
    return others > 0 || now < m_shortPromptsDeferredUntil;
}

bool UpstreamDispatcher::isUrgentLongInPrefill(TimePoint now) const
{
    if (m_inFlight.prefilling(LengthClass::Long) == 0) {
        return false;
    }
    return std::any_of(m_inFlight.entries().begin(), m_inFlight.entries().end(), [&](const auto &entry) {
        return entry.second.prefilling && entry.second.attempt.lengthClass == LengthClass::Long && isUrgent(now, entry.second.attempt);
    });
}

std::uint64_t UpstreamDispatcher::maxAdmissiblePrompt() const
{
    const std::uint64_t cap = m_health.caps().prefillTokens;
    return cap - std::min(cap, m_formerOwnerWork.prefillTokens());
}

int UpstreamDispatcher::enginePriority(TimePoint now, const QueuedAttempt &attempt) const
{
    if (attempt.lengthClass != LengthClass::Long) {
        return attempt.lengthClass == LengthClass::Short ? shortPriority : mediumPriority;
    }
    if (isUrgent(now, attempt)) {
        return urgentPriority;
    }
    const double urgency = estimateServiceTime(attempt) / Seconds(attempt.deadline - now);
    return longPriority + static_cast<int>(maxLongUrgencyBonus * std::clamp(urgency, 0.0, 1.0));
}

Duration UpstreamDispatcher::latencyLimit(const QueuedAttempt &attempt) const
{
    const double rate = m_prefillRateMeter.rate();
    // Shorter prompts that arrive later are processed before a long one, so the latency of a long one does not show overload.
    if (rate <= 0 || attempt.lengthClass == LengthClass::Long) {
        return Duration::zero();
    }
    const std::uint64_t tokens = m_inFlight.prefillTokens() + m_formerOwnerWork.prefillTokens() + attempt.uncachedTokens;
    return toDuration(Seconds(lateFirstTokenRatio * static_cast<double>(tokens) / rate)) + networkSlack;
}

void UpstreamDispatcher::send(TimePoint now, const AttemptId &attempt)
{
    const QueuedAttempt taken = *m_queue.take(AttemptId(attempt));
    m_actions.emplace_back(DispatcherAction::Send{taken.attempt, enginePriority(now, taken)});
    Entry entry;
    entry.attempt = taken;
    entry.sentAt = now;
    entry.latencyLimit = latencyLimit(taken);
    if (taken.lengthClass != LengthClass::Long) {
        m_shortPromptsDeferredUntil = now + toDuration(deferralRatio * Seconds(estimateServiceTime(taken) - m_meanDecodeTime));
    }
    m_inFlight.add(entry);
}

}
