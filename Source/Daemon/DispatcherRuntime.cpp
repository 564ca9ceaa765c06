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

// Time that an entry host has to resume its streams after its connection was lost, before they are cancelled at the upstream.
constexpr std::chrono::seconds abandonGrace{10};

// Failed polls in a row; a single one is common under load, and each poll uses a new connection.
constexpr std::uint32_t pollsBeforeUnresponsive = 2;

// Time that a request suspected of crashing upstreams waits for the upstream to finish its other requests.
constexpr std::chrono::seconds isolationTimeout{20};

// Longer than the quarantine waits for its peers, so that an interrupted answer is reported in any case.
constexpr std::chrono::seconds deferralTimeout{4};

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
    , m_kvRuntime(spec.kind == UpstreamKind::Engine ? std::make_shared<EngineKvRuntime>(context, spec) : nullptr)
{
    m_monitor->start();
}

DispatcherRuntime::~DispatcherRuntime()
{
    *m_alive = false;
    m_monitor->stop();
    if (m_kvRuntime) {
        m_kvRuntime->stop();
    }
    for (auto &[attempt, state] : m_attempts) {
        if (state.exchange) {
            state.exchange->cancel();
        }
    }
}

void DispatcherRuntime::handleDispatch(Wire::DispatchT &&message, std::shared_ptr<ReplyTarget> reply)
{
    const auto known = m_attempts.find(fromWire(*message.attempt));
    if (known != m_attempts.end()) {
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
    const bool occupied = m_isolated.has_value() || m_pendingIsolated.has_value();
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
        if (!m_attempts.empty()) {
            m_pendingIsolated = PendingIsolated{std::move(dispatch), reply, Clock::now()};
            return false;
        }
        m_isolated = fromWire(*dispatch.attempt);
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

void DispatcherRuntime::admitPendingIsolated(TimePoint now)
{
    if (!m_pendingIsolated || (!m_attempts.empty() && now - m_pendingIsolated->waitingSince < isolationTimeout)) {
        return;
    }
    PendingIsolated pending = std::move(*m_pendingIsolated);
    m_pendingIsolated.reset();
    if (!m_attempts.empty()) {
        refuseDispatch(pending.dispatch, *pending.reply, ErrorKind::NoUpstream);
        return;
    }
    // The quarantine decides again, as the request may have been quarantined or cleared in the meantime.
    pending.dispatch.remaining_us -= std::chrono::duration_cast<std::chrono::microseconds>(now - pending.waitingSince).count();
    handleDispatch(std::move(pending.dispatch), std::move(pending.reply));
}

void DispatcherRuntime::admit(Wire::DispatchT &&message, const RequestFingerprint &fingerprint, std::shared_ptr<ReplyTarget> reply)
{
    const auto dispatch = std::make_shared<const Wire::DispatchT>(std::move(message));
    const AttemptId attempt = fromWire(*dispatch->attempt);
    const QueuedAttempt queued = toQueued(*dispatch, Clock::now());
    AttemptState &state = m_attempts[attempt];
    state.dispatch = dispatch;
    state.reply = std::move(reply);
    state.deadline = queued.deadline;
    state.fingerprint = fingerprint;
    handle(DispatcherEvent::Enqueued{queued});
}

void DispatcherRuntime::resume(AttemptState &state, std::shared_ptr<const Wire::DispatchT> dispatch, std::shared_ptr<ReplyTarget> reply)
{
    state.dispatch = std::move(dispatch);
    state.reply = std::move(reply);
    state.abandonedAt.reset();
    if (!state.sent) {
        return; // Still queued; the new connection is used when the attempt is sent.
    }
    if (state.exchange) {
        state.exchange->cancel();
    }
    startExchange(state);
}

void DispatcherRuntime::handleCancel(const Wire::CancelT &cancel)
{
    const AttemptId attempt = fromWire(*cancel.attempt);
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end() || position->second.dispatch->connection > cancel.connection) {
        return; // The attempt ended, or a later connection has replaced this one.
    }
    if (cancel.stop) {
        handle(DispatcherEvent::CancelRequested{attempt});
        return;
    }
    AttemptState &state = position->second;
    if (state.exchange) {
        state.exchange->cancel();
        state.exchange.reset();
    }
    state.abandonedAt = Clock::now();
}

void DispatcherRuntime::handleFlow(const Wire::FlowT &flow)
{
    const auto position = m_attempts.find(fromWire(*flow.attempt));
    if (position != m_attempts.end() && position->second.exchange && position->second.exchange->connection() == flow.connection) {
        position->second.exchange->setPaused(flow.paused);
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
    if (m_kvRuntime) {
        m_kvRuntime->handleReservation(call, reply, Clock::now());
    }
}

void DispatcherRuntime::handle(const DispatcherInput &event)
{
    const TimePoint now = Clock::now();
    if (m_kvRuntime) {
        m_kvRuntime->handle(event, now);
    }
    process(m_dispatcher.handle(now, event));
    if (std::holds_alternative<DispatcherEvent::Tick>(event)) {
        cancelAbandoned(now);
        admitPendingIsolated(now);
        releaseExpiredFailures(now);
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
    for (auto &[attempt, state] : m_attempts) {
        if (state.reply.get() == reply && !state.abandonedAt) {
            state.abandonedAt = Clock::now();
        }
    }
}

LoadSummary DispatcherRuntime::summary() const
{
    return m_dispatcher.summary();
}

bool DispatcherRuntime::idle() const
{
    return m_attempts.empty();
}

void DispatcherRuntime::answerStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType)
{
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end()) {
        return;
    }
    if (m_kvRuntime) {
        m_kvRuntime->recordStepAnswer(*position->second.dispatch, status, Clock::now());
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

void DispatcherRuntime::firstTokenReceived(const AttemptId &attempt)
{
    handle(DispatcherEvent::FirstToken{attempt});
}

void DispatcherRuntime::dataReceived(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data)
{
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end()) {
        return;
    }
    Wire::StreamDataT message;
    message.attempt = toWire(attempt);
    message.connection = connection;
    message.index = index;
    message.data.assign(data.begin(), data.end());
    position->second.reply->reply(toMessage(std::move(message)));
}

void DispatcherRuntime::exchangeEnded(const UpstreamExchangeResult &result)
{
    const auto position = m_attempts.find(result.attempt);
    if (position == m_attempts.end()) {
        return;
    }
    if (result.outcome == Wire::StreamOutcome::Broken && m_spec.kind == UpstreamKind::Engine) {
        deferFailure(result.attempt, result);
    } else {
        endAttempt(result.attempt, result, errorOf(result));
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
    const auto position = m_attempts.find(action.attempt);
    if (position == m_attempts.end()) {
        return;
    }
    AttemptState &state = position->second;
    state.sent = true;
    if (m_spec.kind == UpstreamKind::Engine) {
        m_environment.quarantine().handle(RunStarted{state.fingerprint, m_spec.id}, Clock::now());
    }
    state.enginePriority = action.enginePriority;
    startExchange(state);
}

void DispatcherRuntime::on(const DispatcherAction::Refuse &action)
{
    UpstreamExchangeResult result;
    result.attempt = action.attempt;
    result.outcome = Wire::StreamOutcome::Refused;
    const auto position = m_attempts.find(action.attempt);
    if (position != m_attempts.end()) {
        result.connection = position->second.dispatch->connection;
        endAttempt(action.attempt, result, action.kind);
    }
}

void DispatcherRuntime::on(const DispatcherAction::CancelUpstream &action)
{
    const auto position = m_attempts.find(action.attempt);
    std::string name = toString(action.attempt);
    if (position != m_attempts.end()) {
        if (position->second.exchange) {
            position->second.exchange->cancel();
        }
        reportRunEnded(position->second, false);
        name = EngineKvRuntime::engineAttemptName(*position->second.dispatch);
        m_attempts.erase(position);
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

void DispatcherRuntime::startExchange(AttemptState &state)
{
    state.exchange = std::make_shared<UpstreamExchange>(m_context, m_pool, state.dispatch, state.enginePriority, state.deadline, *this);
    state.exchange->start();
}

void DispatcherRuntime::endAttempt(const AttemptId &attempt, const UpstreamExchangeResult &result, ErrorKind error)
{
    const auto position = m_attempts.find(attempt);
    const AttemptState state = std::move(position->second);
    m_attempts.erase(position);
    reportRunEnded(state, result.outcome == Wire::StreamOutcome::Completed);
    sendEnd(state, result, error);
}

void DispatcherRuntime::reportRunEnded(const AttemptState &state, bool completed)
{
    if (m_isolated == fromWire(*state.dispatch->attempt)) {
        m_isolated.reset();
    }
    if (state.sent && m_spec.kind == UpstreamKind::Engine) {
        m_environment.quarantine().handle(RunEnded{state.fingerprint, m_spec.id, completed}, Clock::now());
    }
}

void DispatcherRuntime::deferFailure(const AttemptId &attempt, const UpstreamExchangeResult &result)
{
    const auto position = m_attempts.find(attempt);
    m_deferredFailures.push_back(DeferredFailure{std::move(position->second), result, Clock::now()});
    m_attempts.erase(position);
    if (m_deferredFailures.size() > 1) {
        return; // The probe for the first failure covers all of them.
    }
    m_monitor->probe([this, alive = m_alive](bool responsive) {
        if (*alive) {
            classifyDeferredFailures(!responsive);
        }
    });
}

void DispatcherRuntime::classifyDeferredFailures(bool crashed)
{
    if (crashed) {
        UpstreamCrashed event;
        event.upstream = m_spec.id;
        event.epoch = m_epoch;
        for (DeferredFailure &failure : m_deferredFailures) {
            if (!failure.crashed) {
                failure.crashed = true;
                event.running.push_back(failure.state.fingerprint);
            }
        }
        if (!event.running.empty()) {
            m_environment.quarantine().handle(event, Clock::now());
        }
    }
    for (DeferredFailure &failure : m_deferredFailures) {
        if (!failure.runEndReported) {
            failure.runEndReported = true;
            reportRunEnded(failure.state, false);
        }
    }
    if (!crashed) {
        releaseFailuresIf([](const DeferredFailure &failure) {
            return !failure.crashed;
        });
    }
}

template<class Predicate>
void DispatcherRuntime::releaseFailuresIf(Predicate predicate)
{
    std::vector<DeferredFailure> released;
    for (auto position = m_deferredFailures.begin(); position != m_deferredFailures.end();) {
        if (predicate(*position)) {
            released.push_back(std::move(*position));
            position = m_deferredFailures.erase(position);
        } else {
            ++position;
        }
    }
    for (const DeferredFailure &failure : released) {
        sendEnd(failure.state, failure.result, errorOf(failure.result));
    }
}

void DispatcherRuntime::releaseFailure(const RequestFingerprint &fingerprint)
{
    releaseFailuresIf([&fingerprint](const DeferredFailure &failure) {
        return failure.crashed && failure.state.fingerprint == fingerprint;
    });
}

void DispatcherRuntime::releaseExpiredFailures(TimePoint now)
{
    releaseFailuresIf([now](const DeferredFailure &failure) {
        return now - failure.deferredAt > deferralTimeout;
    });
}

void DispatcherRuntime::stopCopy(const RequestFingerprint &fingerprint)
{
    std::vector<AttemptId> copies;
    for (const auto &[attempt, state] : m_attempts) {
        if (state.sent && state.fingerprint == fingerprint && m_isolated != attempt) {
            copies.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : copies) {
        UpstreamExchangeResult result;
        result.attempt = attempt;
        result.connection = m_attempts.at(attempt).dispatch->connection;
        if (m_attempts.at(attempt).exchange) {
            m_attempts.at(attempt).exchange->cancel();
        }
        endAttempt(attempt, result, ErrorKind::UpstreamFailed);
        handle(DispatcherEvent::CancelRequested{attempt});
    }
}

void DispatcherRuntime::sendEnd(const AttemptState &state, const UpstreamExchangeResult &result, ErrorKind error)
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
    state.reply->reply(toMessage(std::move(end)));
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
    if (m_epoch != 0 && report->epoch != m_epoch && !m_deferredFailures.empty()) {
        classifyDeferredFailures(true);
    }
    m_epoch = report->epoch;
    if (m_kvRuntime) {
        m_kvRuntime->updateEngineEpoch(report->epoch);
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
    for (const auto &[attempt, state] : m_attempts) {
        if (state.abandonedAt && now - *state.abandonedAt > abandonGrace) {
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
        // Plain services have no cancel call, so closing the connection is the only way to cancel.
        handle(DispatcherEvent::Finished{attempt});
        return;
    }
    const auto stop = [this, attempt, name, pool = m_pool, alive = m_alive]() -> Asio::awaitable<void> {
        constexpr unsigned httpVersion = 11;
        UpstreamCall call(pool, Clock::now() + cancelTimeout);
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
