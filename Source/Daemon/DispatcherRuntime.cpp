#include "Daemon/DispatcherRuntime.h"

#include "Base/Hash.h"
#include "Daemon/DispatcherEnvironment.h"
#include "Daemon/SharedQuarantine.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireDispatch.h"
#include "Daemon/WireLoad.h"
#include "Http/UpstreamCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

using Clock = std::chrono::steady_clock;

// An entry host whose connection broke gets this long to resume its streams before they are cancelled at the upstream.
constexpr std::chrono::seconds abandonGrace{10};

// Two polls in a row: a single lost one is common under load, and each uses a new connection.
constexpr std::uint32_t pollsBeforeUnresponsive = 2;

// A suspect waits this long for the upstream to finish its other requests.
constexpr std::chrono::seconds aloneTimeout{20};

// Longer than the quarantine waits for its peers, so that a broken answer is told in any case.
constexpr std::chrono::seconds holdTimeout{4};

constexpr std::chrono::seconds cancelTimeout{2};
constexpr std::string_view attemptsPath = "/v1/attempts/";

QueuedAttempt toQueued(const Wire::DispatchT &dispatch, TimePoint now)
{
    QueuedAttempt queued;
    queued.attempt = fromWire(*dispatch.attempt);
    queued.organisation = OrganisationId(dispatch.organisation);
    queued.weight = std::max(1U, dispatch.weight);
    queued.promptTokens = dispatch.prompt_tokens;
    queued.uncachedTokens = dispatch.uncached_tokens;
    queued.lengthClass = static_cast<LengthClass>(std::min<std::size_t>(dispatch.length_class, lengthClassCount - 1));
    queued.deadline = now + std::chrono::microseconds(dispatch.remaining_us);
    queued.arrival = now;
    return queued;
}

DispatcherEvent::Failure failureOf(const UpstreamExchangeResult &result)
{
    if (result.connectFailed) {
        return DispatcherEvent::Failure::ConnectionRefused;
    }
    return result.outcome == Wire::StreamOutcome::Refused ? DispatcherEvent::Failure::RefusedBeforeWork : DispatcherEvent::Failure::Interrupted;
}

ErrorKind errorOf(const UpstreamExchangeResult &result)
{
    switch (result.outcome) {
    case Wire::StreamOutcome::Completed:
        return ErrorKind::None;
    case Wire::StreamOutcome::Refused:
        return ErrorKind::UpstreamRefused;
    case Wire::StreamOutcome::ResumeRejected:
    case Wire::StreamOutcome::Broken:
        break;
    }
    return ErrorKind::UpstreamFailed;
}

}

DispatcherRuntime::DispatcherRuntime(Asio::io_context &context, const UpstreamSpec &spec, const Preset &preset, DispatcherEnvironment &environment)
    : m_context(context)
    , m_spec(spec)
    , m_environment(environment)
    , m_dispatcher(spec, preset)
    , m_pool(std::make_shared<UpstreamConnectionPool>(context, spec.address, spec.port))
    , m_monitor(std::make_shared<UpstreamMonitor>(context,
                                                  spec.address,
                                                  spec.port,
                                                  [this](const std::optional<DispatcherEvent::LoadReported> &report) {
                                                      reportLoad(report);
                                                  }))
    , m_kv(spec.kind == UpstreamKind::Engine ? std::make_shared<EngineKvRuntime>(context, spec) : nullptr)
{
    m_monitor->start();
}

DispatcherRuntime::~DispatcherRuntime()
{
    *m_alive = false;
    m_monitor->stop();
    if (m_kv) {
        m_kv->stop();
    }
    for (auto &[attempt, leg] : m_legs) {
        if (leg.run) {
            leg.run->cancel();
        }
    }
}

void DispatcherRuntime::handleDispatch(Wire::DispatchT &&message, std::shared_ptr<ReplyTarget> reply)
{
    const auto known = m_legs.find(fromWire(*message.attempt));
    if (known != m_legs.end()) {
        resume(known->second, std::make_shared<const Wire::DispatchT>(std::move(message)), std::move(reply));
        return;
    }
    RequestFingerprint fingerprint;
    if (m_spec.kind == UpstreamKind::Engine) {
        const std::string_view body(reinterpret_cast<const char *>(message.body.data()), message.body.size());
        fingerprint = {OrganisationId(message.organisation), contentHash(body)};
        if (!mayRun(message, fingerprint, reply)) {
            return;
        }
    }
    admit(std::move(message), fingerprint, std::move(reply));
}

bool DispatcherRuntime::mayRun(Wire::DispatchT &dispatch, const RequestFingerprint &fingerprint, const std::shared_ptr<ReplyTarget> &reply)
{
    const RunDecision decision = m_environment.quarantine().decide(fingerprint, Clock::now());
    const bool occupied = m_alone.has_value() || m_pendingAlone.has_value();
    switch (decision.rule) {
    case RunRule::Run:
        if (occupied) {
            refuseDispatch(dispatch, *reply, ErrorKind::NoUpstream);
            return false;
        }
        return true;
    case RunRule::RunIsolated:
        if (occupied) {
            refuseDispatch(dispatch, *reply, ErrorKind::NoUpstream);
            return false;
        }
        if (!m_legs.empty()) {
            m_pendingAlone = PendingAlone{std::move(dispatch), reply, Clock::now()};
            return false;
        }
        m_alone = fromWire(*dispatch.attempt);
        return true;
    case RunRule::Wait:
        refuseDispatch(dispatch, *reply, ErrorKind::NoUpstream);
        return false;
    case RunRule::RunElsewhere:
        refuseDispatch(dispatch, *reply, ErrorKind::NoUpstream, decision.host);
        return false;
    case RunRule::Refuse:
        break;
    }
    refuseDispatch(dispatch, *reply, ErrorKind::Quarantined);
    return false;
}

void DispatcherRuntime::admitPendingAlone(TimePoint now)
{
    if (!m_pendingAlone || (!m_legs.empty() && now - m_pendingAlone->since < aloneTimeout)) {
        return;
    }
    PendingAlone pending = std::move(*m_pendingAlone);
    m_pendingAlone.reset();
    if (!m_legs.empty()) {
        refuseDispatch(pending.dispatch, *pending.reply, ErrorKind::NoUpstream);
        return;
    }
    // Decided anew: the request may have been quarantined or acquitted meanwhile.
    pending.dispatch.remaining_us -= std::chrono::duration_cast<std::chrono::microseconds>(now - pending.since).count();
    handleDispatch(std::move(pending.dispatch), std::move(pending.reply));
}

void DispatcherRuntime::admit(Wire::DispatchT &&message, const RequestFingerprint &fingerprint, std::shared_ptr<ReplyTarget> reply)
{
    const auto dispatch = std::make_shared<const Wire::DispatchT>(std::move(message));
    const AttemptId attempt = fromWire(*dispatch->attempt);
    const QueuedAttempt queued = toQueued(*dispatch, Clock::now());
    Leg &leg = m_legs[attempt];
    leg.dispatch = dispatch;
    leg.reply = std::move(reply);
    leg.deadline = queued.deadline;
    leg.fingerprint = fingerprint;
    handle(DispatcherEvent::Enqueued{queued});
}

void DispatcherRuntime::resume(Leg &leg, std::shared_ptr<const Wire::DispatchT> dispatch, std::shared_ptr<ReplyTarget> reply)
{
    leg.dispatch = std::move(dispatch);
    leg.reply = std::move(reply);
    leg.abandonedAt.reset();
    if (!leg.sent) {
        return; // Still queued: the send will use the new connection.
    }
    if (leg.run) {
        leg.run->cancel();
    }
    startRun(leg);
}

void DispatcherRuntime::handleCancel(const Wire::CancelT &cancel)
{
    const AttemptId attempt = fromWire(*cancel.attempt);
    const auto position = m_legs.find(attempt);
    if (position == m_legs.end() || position->second.dispatch->connection > cancel.connection) {
        return; // Ended, or replaced by a later connection.
    }
    if (cancel.stop) {
        handle(DispatcherEvent::CancelRequested{attempt});
        return;
    }
    Leg &leg = position->second;
    if (leg.run) {
        leg.run->cancel();
        leg.run.reset();
    }
    leg.abandonedAt = Clock::now();
}

void DispatcherRuntime::handleFlow(const Wire::FlowT &flow)
{
    const auto position = m_legs.find(fromWire(*flow.attempt));
    if (position != m_legs.end() && position->second.run && position->second.run->connection() == flow.connection) {
        position->second.run->setPaused(flow.paused);
    }
}

void DispatcherRuntime::handleProbe(std::uint64_t call, const std::shared_ptr<ReplyTarget> &reply)
{
    m_monitor->probe([call, reply](bool responsive) {
        Wire::ProbeAnswerT answer;
        answer.call = call;
        answer.responsive = responsive;
        reply->reply(toMessage(answer));
    });
}

void DispatcherRuntime::handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply)
{
    if (m_kv) {
        m_kv->handleReservation(call, reply, Clock::now());
    }
}

void DispatcherRuntime::handle(const DispatcherInput &event)
{
    const TimePoint now = Clock::now();
    if (m_kv) {
        m_kv->handle(event, now);
    }
    process(m_dispatcher.handle(now, event));
    if (std::holds_alternative<DispatcherEvent::Tick>(event)) {
        cancelAbandoned(now);
        admitPendingAlone(now);
        releaseHeld(now);
    }
}

void DispatcherRuntime::setPreset(const Preset &preset)
{
    m_dispatcher.setPreset(preset);
}

void DispatcherRuntime::setOutOfService(bool out)
{
    if (out != m_outOfService) {
        m_outOfService = out;
        handle(out ? DispatcherInput(DispatcherEvent::TakenOutOfService{}) : DispatcherInput(DispatcherEvent::ReturnedToService{}));
    }
}

void DispatcherRuntime::handleEntryLost(const ReplyTarget *reply)
{
    for (auto &[attempt, leg] : m_legs) {
        if (leg.reply.get() == reply && !leg.abandonedAt) {
            leg.abandonedAt = Clock::now();
        }
    }
}

LoadSummary DispatcherRuntime::summary() const
{
    return m_dispatcher.summary();
}

bool DispatcherRuntime::idle() const
{
    return m_legs.empty();
}

void DispatcherRuntime::runStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType)
{
    const auto position = m_legs.find(attempt);
    if (position == m_legs.end()) {
        return;
    }
    if (m_kv) {
        m_kv->recordStepAnswer(*position->second.dispatch, status, Clock::now());
    }
    Wire::StreamStartT start;
    start.attempt = toWire(attempt);
    start.connection = connection;
    start.status = static_cast<std::uint16_t>(status);
    start.content_type = contentType;
    start.load = toWire(summary());
    position->second.reply->reply(toMessage(std::move(start)));
    handle(DispatcherEvent::Started{attempt});
}

void DispatcherRuntime::runFirstToken(const AttemptId &attempt)
{
    handle(DispatcherEvent::FirstToken{attempt});
}

void DispatcherRuntime::runData(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data)
{
    const auto position = m_legs.find(attempt);
    if (position == m_legs.end()) {
        return;
    }
    Wire::StreamDataT message;
    message.attempt = toWire(attempt);
    message.connection = connection;
    message.index = index;
    message.data.assign(data.begin(), data.end());
    position->second.reply->reply(toMessage(std::move(message)));
}

void DispatcherRuntime::runEnded(const UpstreamExchangeResult &result)
{
    const auto position = m_legs.find(result.attempt);
    if (position == m_legs.end()) {
        return;
    }
    if (result.outcome == Wire::StreamOutcome::Broken && m_spec.kind == UpstreamKind::Engine) {
        holdFailure(result.attempt, result);
    } else {
        endLeg(result.attempt, result, errorOf(result));
    }
    if (result.outcome == Wire::StreamOutcome::Completed) {
        handle(DispatcherEvent::Finished{result.attempt});
    } else {
        handle(DispatcherEvent::Failed{result.attempt, failureOf(result)});
    }
}

void DispatcherRuntime::process(const std::vector<DispatcherOutput> &outputs)
{
    for (const DispatcherOutput &output : outputs) {
        std::visit(
            [this](const auto &action) {
                on(action);
            },
            output);
    }
}

void DispatcherRuntime::on(const DispatcherAction::Send &action)
{
    const auto position = m_legs.find(action.attempt);
    if (position == m_legs.end()) {
        return;
    }
    Leg &leg = position->second;
    leg.sent = true;
    if (m_spec.kind == UpstreamKind::Engine) {
        m_environment.quarantine().handle(RunStarted{leg.fingerprint, m_spec.id}, Clock::now());
    }
    leg.enginePriority = action.enginePriority;
    startRun(leg);
}

void DispatcherRuntime::on(const DispatcherAction::Refuse &action)
{
    UpstreamExchangeResult result;
    result.attempt = action.attempt;
    result.outcome = Wire::StreamOutcome::Refused;
    const auto position = m_legs.find(action.attempt);
    if (position != m_legs.end()) {
        result.connection = position->second.dispatch->connection;
        endLeg(action.attempt, result, action.kind);
    }
}

void DispatcherRuntime::on(const DispatcherAction::CancelUpstream &action)
{
    const auto position = m_legs.find(action.attempt);
    std::string name = toString(action.attempt);
    if (position != m_legs.end()) {
        if (position->second.run) {
            position->second.run->cancel();
        }
        noteRunEnded(position->second, false);
        name = EngineKvRuntime::engineAttemptName(*position->second.dispatch);
        m_legs.erase(position);
    }
    stopAtUpstream(action.attempt, name);
}

void DispatcherRuntime::on(const DispatcherAction::StateChanged &action)
{
    if (action.to == UpstreamState::Cold) {
        m_pool->clear();
    }
    m_environment.upstreamStateChanged(m_spec.id, action.from, action.to);
}

void DispatcherRuntime::on(const DispatcherAction::ReturnToEntry &action)
{
    on(DispatcherAction::Refuse{action.attempt, ErrorKind::NoUpstream});
}

void DispatcherRuntime::on(const DispatcherAction::HandOver &action)
{
    m_environment.sendHandOver(action.message);
}

void DispatcherRuntime::startRun(Leg &leg)
{
    const Duration timeLeft = std::max<Duration>(leg.deadline - Clock::now(), std::chrono::milliseconds(1));
    leg.run = std::make_shared<UpstreamExchange>(m_context, m_pool, leg.dispatch, leg.enginePriority, timeLeft, *this);
    leg.run->start();
}

void DispatcherRuntime::endLeg(const AttemptId &attempt, const UpstreamExchangeResult &result, ErrorKind error)
{
    const auto position = m_legs.find(attempt);
    const Leg leg = std::move(position->second);
    m_legs.erase(position);
    noteRunEnded(leg, result.outcome == Wire::StreamOutcome::Completed);
    sendEnd(leg, result, error);
}

void DispatcherRuntime::noteRunEnded(const Leg &leg, bool completed)
{
    if (m_alone == fromWire(*leg.dispatch->attempt)) {
        m_alone.reset();
    }
    if (leg.sent && m_spec.kind == UpstreamKind::Engine) {
        m_environment.quarantine().handle(RunEnded{leg.fingerprint, m_spec.id, completed}, Clock::now());
    }
}

void DispatcherRuntime::holdFailure(const AttemptId &attempt, const UpstreamExchangeResult &result)
{
    const auto position = m_legs.find(attempt);
    m_held.push_back(HeldFailure{std::move(position->second), result, Clock::now()});
    m_legs.erase(position);
    if (m_held.size() > 1) {
        return; // The probe of the first one answers for all.
    }
    m_monitor->probe([this, alive = m_alive](bool responsive) {
        if (*alive) {
            judgeHeldFailures(!responsive);
        }
    });
}

void DispatcherRuntime::judgeHeldFailures(bool crashed)
{
    if (crashed) {
        UpstreamCrashed event;
        event.upstream = m_spec.id;
        event.epoch = m_epoch;
        for (HeldFailure &held : m_held) {
            if (!held.crashed) {
                held.crashed = true;
                event.running.push_back(held.leg.fingerprint);
            }
        }
        if (!event.running.empty()) {
            m_environment.quarantine().handle(event, Clock::now());
        }
    }
    for (HeldFailure &held : m_held) {
        if (!held.judged) {
            held.judged = true;
            noteRunEnded(held.leg, false);
        }
    }
    if (!crashed) {
        releaseWhere([](const HeldFailure &held) {
            return !held.crashed;
        });
    }
}

template<class Predicate>
void DispatcherRuntime::releaseWhere(Predicate predicate)
{
    std::vector<HeldFailure> released;
    for (auto held = m_held.begin(); held != m_held.end();) {
        if (predicate(*held)) {
            released.push_back(std::move(*held));
            held = m_held.erase(held);
        } else {
            ++held;
        }
    }
    for (const HeldFailure &failure : released) {
        sendEnd(failure.leg, failure.result, errorOf(failure.result));
    }
}

void DispatcherRuntime::releaseFailure(const RequestFingerprint &fingerprint)
{
    releaseWhere([&fingerprint](const HeldFailure &held) {
        return held.crashed && held.leg.fingerprint == fingerprint;
    });
}

void DispatcherRuntime::releaseHeld(TimePoint now)
{
    releaseWhere([now](const HeldFailure &held) {
        return now - held.since > holdTimeout;
    });
}

void DispatcherRuntime::stopCopy(const RequestFingerprint &fingerprint)
{
    std::vector<AttemptId> copies;
    for (const auto &[attempt, leg] : m_legs) {
        if (leg.sent && leg.fingerprint == fingerprint && m_alone != attempt) {
            copies.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : copies) {
        UpstreamExchangeResult result;
        result.attempt = attempt;
        result.connection = m_legs.at(attempt).dispatch->connection;
        if (m_legs.at(attempt).run) {
            m_legs.at(attempt).run->cancel();
        }
        endLeg(attempt, result, ErrorKind::UpstreamFailed);
        handle(DispatcherEvent::CancelRequested{attempt});
    }
}

void DispatcherRuntime::sendEnd(const Leg &leg, const UpstreamExchangeResult &result, ErrorKind error)
{
    Wire::StreamEndT end;
    end.attempt = toWire(result.attempt);
    end.connection = result.connection;
    end.outcome = result.outcome;
    end.error = static_cast<std::uint16_t>(error);
    end.tokens = result.tokens;
    end.prompt_tokens = result.promptTokens;
    end.cached_tokens = result.cachedTokens;
    end.prefill_us = std::chrono::duration_cast<std::chrono::microseconds>(result.prefill).count();
    end.load = toWire(summary());
    leg.reply->reply(toMessage(std::move(end)));
}

void DispatcherRuntime::reportLoad(const std::optional<DispatcherEvent::LoadReported> &report)
{
    if (!report) {
        ++m_failedPolls;
        if (m_responsive && m_failedPolls >= pollsBeforeUnresponsive) {
            m_responsive = false;
            handle(DispatcherEvent::Unresponsive{});
        }
        return;
    }
    m_failedPolls = 0;
    if (m_epoch != 0 && report->epoch != m_epoch && !m_held.empty()) {
        judgeHeldFailures(true);
    }
    m_epoch = report->epoch;
    if (m_kv) {
        m_kv->updateEngineEpoch(report->epoch);
    }
    if (!m_responsive) {
        m_responsive = true;
        handle(DispatcherEvent::ProbeSucceeded{});
    }
    handle(*report);
    if (m_dispatcher.unknownRequests() > 0) {
        m_environment.capExceeded(m_dispatcher.unknownRequests());
    }
}

void DispatcherRuntime::cancelAbandoned(TimePoint now)
{
    std::vector<AttemptId> expired;
    for (const auto &[attempt, leg] : m_legs) {
        if (leg.abandonedAt && now - *leg.abandonedAt > abandonGrace) {
            expired.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : expired) {
        handle(DispatcherEvent::CancelRequested{attempt});
    }
}

void DispatcherRuntime::stopAtUpstream(const AttemptId &attempt, const std::string &name)
{
    if (m_spec.kind == UpstreamKind::Service) {
        // Plain services have no cancel call; closing the connection is all that can be done.
        handle(DispatcherEvent::Finished{attempt});
        return;
    }
    const auto stop = [this, attempt, name, pool = m_pool, alive = m_alive]() -> Asio::awaitable<void> {
        constexpr unsigned httpVersion = 11;
        UpstreamCall call(pool, cancelTimeout);
        UpstreamCall::Request request(BeastHttp::verb::delete_, std::string(attemptsPath) + name, httpVersion);
        std::string body;
        const bool confirmed = !co_await call.start(std::move(request)) && !co_await call.readAll(body, 64UL * 1024);
        if (*alive && confirmed) {
            handle(DispatcherEvent::Finished{attempt});
        }
    };
    Asio::co_spawn(m_context, stop, Asio::detached);
}

}
