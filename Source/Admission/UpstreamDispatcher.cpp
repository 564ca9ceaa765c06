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
constexpr int duePriority = 110;
constexpr int longPriority = 10;
constexpr int longAgeing = 70; ///< Added to longPriority as the time left shrinks to the time needed.

// A long prompt is due when its time left is this multiple of the time it needs: at half the rate it still finishes.
constexpr double dueRatio = 2;
constexpr Seconds dueMargin{1};
// While a due long prompt is in prefill, a short one may start once per this multiple of its prefill time. At 2 the long
// prompt got 45% of the rate because of the gaps between prompts, and missed its deadline.
constexpr double heldBackRatio = 3;
// A first token later than this multiple of the expected time, plus the slack for the network, counts as overload.
constexpr double slowRatio = 3;
constexpr Duration slowSlack = 500ms;
// With shortWeight 1, a quarter of the caps is closed to long prompts.
constexpr double largestReserve = 0.25;
// Below this cap a slot kept free for a long prompt would be too large a share.
constexpr std::uint32_t minCapForLongSlot = 4;
constexpr double meanGain = 0.1;
// A cancelled attempt that the upstream does not confirm is dropped after this time, if reports show fewer requests.
constexpr Duration cancelGrace = 2s;

void learn(Seconds &mean, Duration sample)
{
    mean = mean == Seconds::zero() ? Seconds(sample) : mean + meanGain * (Seconds(sample) - mean);
}

bool precedes(const AttemptId &left, const AttemptId &right)
{
    return std::tie(left.host, left.incarnation, left.sequence) < std::tie(right.host, right.incarnation, right.sequence);
}

bool newer(const QueuedAttempt &left, const QueuedAttempt &right)
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
    m_rate.changed(now, m_inFlight.prefillTokens());
    m_counts.record(now, m_inFlight.size());
    return std::exchange(m_actions, {});
}

LoadSummary UpstreamDispatcher::summary() const
{
    LoadSummary summary;
    summary.upstream = m_spec.id;
    summary.state = m_health.state();
    summary.caps = m_health.caps();
    summary.inFlightRequests = m_inFlight.size() + m_former.requests() + m_unexplained;
    summary.queuedRequests = static_cast<std::uint32_t>(m_queue.size());
    for (const LengthClass lengthClass : {LengthClass::Short, LengthClass::Medium, LengthClass::Long}) {
        summary.inFlightPrefillTokens[indexOf(lengthClass)] = m_inFlight.prefillTokens(lengthClass);
        summary.queuedPrefillTokens[indexOf(lengthClass)] = m_queue.tokens(lengthClass);
    }
    summary.inFlightPrefillTokens[indexOf(LengthClass::Medium)] += m_former.prefillTokens();
    summary.prefillRate = m_rate.rate();
    summary.residence = m_residence;
    return summary;
}

const InFlightTable &UpstreamDispatcher::inFlight() const
{
    return m_inFlight;
}

std::uint32_t UpstreamDispatcher::unknownRequests() const
{
    return m_unexplained;
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
    if (m_released) {
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
        } else if (!makeRoom(now, attempt)) {
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
    // Counts and latency run from the send; the start is only of interest to the stream's session.
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::FirstToken &event)
{
    if (Entry *entry = m_inFlight.find(event.attempt); entry != nullptr && entry->prefilling) {
        endPrefill(now, *entry, true);
    }
    if (m_released) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Finished &event)
{
    m_former.finished(event.attempt);
    Entry *entry = m_inFlight.find(event.attempt);
    if (entry == nullptr) {
        return;
    }
    if (entry->prefilling) {
        // A call without a stream has no first token; a cancelled one completed no prefill.
        endPrefill(now, *entry, !entry->cancelledAt);
    }
    const Entry ended = *m_inFlight.remove(event.attempt);
    if (!ended.cancelledAt) {
        learn(m_residence, now - ended.sentAt);
        learn(m_decode, now - ended.firstTokenAt.value_or(now));
        if (ended.goodLatency && m_former.settled()) {
            m_health.completed(ended.sentAt, ended.attempt.uncachedTokens);
        }
    }
    if (m_released) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Failed &event)
{
    m_former.finished(event.attempt);
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
        m_health.connectionRefused(now);
    } else if (!ended.cancelledAt) {
        // The upstream breaks off cancelled attempts on request; that is no sign of overload.
        m_health.overloaded(now, ended.sentAt);
    }
    const ErrorKind kind = ended.cancelledAt ? ErrorKind::Cancelled : nothingRan ? ErrorKind::UpstreamRefused : ErrorKind::UpstreamFailed;
    refuse(event.attempt, kind);
    if (m_released) {
        sendHandOver();
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::LoadReported &event)
{
    m_health.reported(now, event.epoch, event.uptime);
    if (event.lag >= CountWindow::length) {
        return;
    }
    const TimePoint sampledAt = now - event.lag;
    const std::uint32_t least = std::min(m_counts.least(sampledAt), m_inFlight.size());
    const std::uint32_t greatest = std::max(m_counts.greatest(sampledAt), m_inFlight.size());
    m_former.reported(sampledAt, event.inFlightRequests, least, greatest);
    const std::uint32_t known = greatest + m_former.requests();
    m_unexplained = event.inFlightRequests > known ? event.inFlightRequests - known : 0;
    releaseCancelled(sampledAt, event.inFlightRequests);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::Unresponsive &)
{
    m_health.unresponsive();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::ProbeSucceeded &)
{
    m_health.probeSucceeded(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::TakenOutOfService &)
{
    m_health.takenOut();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::ReturnedToService &)
{
    m_health.broughtBack(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::UpstreamLeaving &)
{
    m_health.leaving();
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::OwnershipReleased &)
{
    m_released = true;
    for (const QueuedAttempt *attempt : m_queue.inOrder()) {
        m_actions.emplace_back(DispatcherAction::ReturnToEntry{attempt->attempt});
    }
    m_queue = DispatchQueue(m_preset.queueLimit);
    sendHandOver();
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::TakeoverBegan &event)
{
    m_released = false;
    m_former.began(event.assumedRequests, event.assumedPrefillTokens);
    m_health.takenOver(now);
}

void UpstreamDispatcher::on(TimePoint, const DispatcherEvent::HandOverReceived &event)
{
    if (event.message.upstream != m_spec.id) {
        return;
    }
    const bool first = !m_former.settled();
    m_former.handedOver(event.message);
    // The caps apply only to the same run of the upstream.
    if (first && event.message.epoch != 0 && event.message.epoch == m_health.epoch()) {
        m_health.adoptCaps(event.message.caps);
    }
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::FormerOwnerDead &)
{
    m_former.ownerDead(now);
}

void UpstreamDispatcher::on(TimePoint now, const DispatcherEvent::Tick &)
{
    std::vector<AttemptId> late;
    for (const auto &[attempt, entry] : m_inFlight.entries()) {
        if (entry.attempt.deadline <= now && !entry.cancelledAt) {
            late.push_back(attempt);
        }
    }
    std::sort(late.begin(), late.end(), precedes);
    for (const AttemptId &attempt : late) {
        on(now, DispatcherEvent::CancelRequested{attempt});
    }
    shedHopeless(now);
}

void UpstreamDispatcher::endPrefill(TimePoint now, Entry &entry, bool completed)
{
    m_inFlight.endPrefill(entry.attempt.attempt);
    if (!completed) {
        m_rate.abandoned();
        return;
    }
    m_rate.completed(entry.attempt.uncachedTokens);
    entry.firstTokenAt = now;
    entry.goodLatency = entry.latencyLimit == Duration::zero() || now - entry.sentAt <= entry.latencyLimit;
    if (!entry.goodLatency) {
        m_health.overloaded(now, entry.sentAt);
    }
}

void UpstreamDispatcher::releaseCancelled(TimePoint sampledAt, std::uint32_t reported)
{
    std::vector<AttemptId> unconfirmed;
    for (const auto &[attempt, entry] : m_inFlight.entries()) {
        if (entry.cancelledAt && *entry.cancelledAt + cancelGrace <= sampledAt) {
            unconfirmed.push_back(attempt);
        }
    }
    std::sort(unconfirmed.begin(), unconfirmed.end(), precedes);
    for (const AttemptId &attempt : unconfirmed) {
        if (m_inFlight.size() + m_former.requests() <= reported) {
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
        return precedes(left.attempt, right.attempt);
    });
    m_actions.emplace_back(DispatcherAction::HandOver{std::move(message)});
}

bool UpstreamDispatcher::makeRoom(TimePoint now, const QueuedAttempt &newcomer)
{
    if (m_queue.full()) {
        shedHopeless(now);
    }
    if (m_queue.full()) {
        if (const auto victim = m_queue.victimFor(newcomer)) {
            m_queue.remove(*victim);
            refuse(*victim, ErrorKind::QueueFull);
        }
    }
    return !m_queue.full();
}

void UpstreamDispatcher::shedHopeless(TimePoint now)
{
    // Dropping one attempt may save older ones, so the newest hopeless one goes and the rest is judged again.
    while (true) {
        const QueuedAttempt *newest = nullptr;
        std::size_t requests = 0;
        std::uint64_t tokens = 0;
        for (const QueuedAttempt *attempt : m_queue.inOrder()) {
            if (!meetsDeadline(now, *attempt, requests, tokens) && (newest == nullptr || newer(*attempt, *newest))) {
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

Seconds UpstreamDispatcher::timeNeeded(const QueuedAttempt &attempt) const
{
    const double rate = m_rate.rate();
    const Seconds prefill(rate > 0 ? static_cast<double>(attempt.uncachedTokens) / rate : 0);
    return prefill + m_decode;
}

Seconds UpstreamDispatcher::waitBehind(std::size_t requests, std::uint64_t tokens) const
{
    const double rate = m_rate.rate();
    const Seconds prefill(rate > 0 ? static_cast<double>(tokens) / rate : 0);
    const double cap = std::max<std::uint32_t>(m_health.caps().requests, 1);
    const double excess = static_cast<double>(requests + m_inFlight.size() + m_former.requests() + m_unexplained) + 1 - cap;
    const Seconds slots = m_residence * (std::max(excess, 0.0) / cap);
    return std::max(prefill, slots);
}

bool UpstreamDispatcher::meetsDeadline(TimePoint now, const QueuedAttempt &attempt, std::size_t requestsAhead, std::uint64_t tokensAhead) const
{
    if (attempt.deadline <= now) {
        return false;
    }
    for (std::size_t lane = 0; lane <= indexOf(attempt.lengthClass); ++lane) {
        tokensAhead += m_inFlight.prefillTokens(static_cast<LengthClass>(lane));
    }
    return Seconds(attempt.deadline - now) >= waitBehind(requestsAhead, tokensAhead) + timeNeeded(attempt);
}

bool UpstreamDispatcher::isDue(TimePoint now, const QueuedAttempt &attempt) const
{
    return Seconds(attempt.deadline - now) <= dueRatio * timeNeeded(attempt) + dueMargin;
}

void UpstreamDispatcher::sendWhilePossible(TimePoint now)
{
    while (!m_released && acceptsWork(m_health.state()) && m_queue.size() > 0 && sendNext(now)) {
    }
}

bool UpstreamDispatcher::sendNext(TimePoint now)
{
    if (const QueuedAttempt *due = dueLong(now)) {
        // Everything else waits until the due prompt fits.
        if (!fits(*due, 0, 0)) {
            return false;
        }
        send(now, due->attempt);
        return true;
    }
    if (const QueuedAttempt *next = nextShort(now)) {
        send(now, next->attempt);
        return true;
    }
    const QueuedAttempt *next = m_queue.front(LengthClass::Long, largestPrompt());
    if (next == nullptr || !longMayStart(*next)) {
        return false;
    }
    send(now, next->attempt);
    return true;
}

const QueuedAttempt *UpstreamDispatcher::dueLong(TimePoint now) const
{
    const QueuedAttempt *next = m_queue.front(LengthClass::Long, largestPrompt());
    const bool free = m_inFlight.prefilling(LengthClass::Long) == 0;
    return next != nullptr && free && isDue(now, *next) ? next : nullptr;
}

const QueuedAttempt *UpstreamDispatcher::nextShort(TimePoint now) const
{
    const std::uint64_t largest = largestPrompt();
    const QueuedAttempt *first = m_queue.front(LengthClass::Short, largest);
    const QueuedAttempt *medium = m_queue.front(LengthClass::Medium, largest);
    // The higher ratio of wait to work goes first, so that a stream of short prompts does not hold medium ones forever.
    const auto slowdown = [&](const QueuedAttempt &attempt) {
        return Seconds(now - attempt.arrival).count() / static_cast<double>(attempt.uncachedTokens + 1);
    };
    if (first == nullptr || (medium != nullptr && slowdown(*medium) > slowdown(*first))) {
        first = medium;
    }
    if (first == nullptr || shortsHeldBack(now)) {
        return nullptr;
    }
    const bool keepSlot = m_queue.front(LengthClass::Long, largest) != nullptr && m_inFlight.prefilling(LengthClass::Long) == 0
        && m_health.caps().requests >= minCapForLongSlot;
    return fits(*first, keepSlot ? 1 : 0, 0) ? first : nullptr;
}

bool UpstreamDispatcher::fits(const QueuedAttempt &attempt, std::uint32_t reservedRequests, std::uint64_t reservedTokens) const
{
    const Caps caps = m_health.caps();
    const std::uint64_t requests = std::uint64_t{1} + m_inFlight.size() + m_former.requests() + m_unexplained + reservedRequests;
    const std::uint64_t tokens = m_inFlight.prefillTokens() + m_former.prefillTokens() + attempt.uncachedTokens + reservedTokens;
    return requests <= caps.requests && tokens <= caps.prefillTokens && m_inFlight.promptTokens() + attempt.promptTokens <= m_spec.memoryTokens;
}

bool UpstreamDispatcher::longMayStart(const QueuedAttempt &attempt) const
{
    if (m_inFlight.prefilling(LengthClass::Long) > 0) {
        return false;
    }
    const Caps caps = m_health.caps();
    const double reserve = largestReserve * std::clamp(m_preset.shortWeight, 0.0, 1.0);
    auto tokens = static_cast<std::uint64_t>(reserve * static_cast<double>(caps.prefillTokens));
    if (attempt.uncachedTokens + tokens > caps.prefillTokens) {
        // The largest prompts would otherwise wait until they are due.
        tokens = 0;
    }
    return fits(attempt, static_cast<std::uint32_t>(reserve * caps.requests), tokens);
}

bool UpstreamDispatcher::shortsHeldBack(TimePoint now) const
{
    if (!isDueLongInPrefill(now)) {
        return false;
    }
    const std::uint64_t others = m_inFlight.prefillTokens(LengthClass::Short) + m_inFlight.prefillTokens(LengthClass::Medium);
    return others > 0 || now < m_shortsHeldUntil;
}

bool UpstreamDispatcher::isDueLongInPrefill(TimePoint now) const
{
    if (m_inFlight.prefilling(LengthClass::Long) == 0) {
        return false;
    }
    return std::any_of(m_inFlight.entries().begin(), m_inFlight.entries().end(), [&](const auto &entry) {
        return entry.second.prefilling && entry.second.attempt.lengthClass == LengthClass::Long && isDue(now, entry.second.attempt);
    });
}

std::uint64_t UpstreamDispatcher::largestPrompt() const
{
    const std::uint64_t cap = m_health.caps().prefillTokens;
    return cap - std::min(cap, m_former.prefillTokens());
}

int UpstreamDispatcher::enginePriority(TimePoint now, const QueuedAttempt &attempt) const
{
    if (attempt.lengthClass != LengthClass::Long) {
        return attempt.lengthClass == LengthClass::Short ? shortPriority : mediumPriority;
    }
    if (isDue(now, attempt)) {
        return duePriority;
    }
    const double urgency = timeNeeded(attempt) / Seconds(attempt.deadline - now);
    return longPriority + static_cast<int>(longAgeing * std::clamp(urgency, 0.0, 1.0));
}

Duration UpstreamDispatcher::latencyLimit(const QueuedAttempt &attempt) const
{
    const double rate = m_rate.rate();
    // Shorter prompts that arrive later go before a long one, so its latency says nothing about overload.
    if (rate <= 0 || attempt.lengthClass == LengthClass::Long) {
        return Duration::zero();
    }
    const std::uint64_t tokens = m_inFlight.prefillTokens() + m_former.prefillTokens() + attempt.uncachedTokens;
    return toDuration(Seconds(slowRatio * static_cast<double>(tokens) / rate)) + slowSlack;
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
        m_shortsHeldUntil = now + toDuration(heldBackRatio * Seconds(timeNeeded(taken) - m_decode));
    }
    m_inFlight.add(entry);
}

}
