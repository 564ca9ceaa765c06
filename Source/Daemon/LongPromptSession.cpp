#include "Daemon/LongPromptSession.h"

#include "Base/ErrorAnswer.h"
#include "Daemon/EngineKvBlocks.h"
#include "Daemon/WireAttempt.h"
#include "Daemon/WireDispatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds tickInterval{100};
constexpr unsigned statusOk = 200;
// The engine stops generating soon after its stream is paused, so a slow caller costs the memory of this many events and of
// those in transit.
constexpr std::size_t maxPendingTexts = 64;
constexpr std::uint64_t stepConnection = 1;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

const char *targetOf(ChainStepKind kind)
{
    switch (kind) {
    case ChainStepKind::Import:
        return "/kv/import";
    case ChainStepKind::Export:
        return "/kv/export";
    case ChainStepKind::Prefill:
    case ChainStepKind::Decode:
        break;
    }
    return "/v1/completions";
}

}

LongPromptSession::LongPromptSession(TrafficWorker &worker, AnswerRequest request, const LongPromptPlan &plan)
    : m_worker(worker)
    , m_request(std::move(request))
    , m_guard(worker, m_request.profile.deadline)
    , m_coordinator(plan, {worker.newAttempt(), worker.newAttempt()}, m_request.profile.deadline, ReservationLimits())
    , m_eventTimer(worker.context())
    , m_tickTimer(worker.context())
{
    for (const LongPromptAction &action : m_coordinator.start(now())) {
        std::visit(
            [this](const auto &typed) {
                execute(typed);
            },
            action);
    }
    scheduleTick();
}

LongPromptSession::~LongPromptSession()
{
    callerLeft();
    *m_alive = false;
    for (const auto &[call, owner] : m_reservationCalls) {
        m_worker.forgetCall(call);
    }
}

Asio::awaitable<std::optional<std::string>> LongPromptSession::next()
{
    while (m_pendingTexts.empty() && !m_ended) {
        m_eventTimer.expires_at(TimePoint::max());
        co_await m_eventTimer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    if (m_pendingTexts.empty()) {
        co_return std::nullopt;
    }
    std::string text = std::move(m_pendingTexts.front());
    m_pendingTexts.pop_front();
    if (m_pendingTexts.empty() && m_paused) {
        setPaused(false);
    }
    co_return text;
}

void LongPromptSession::callerLeft()
{
    if (!m_ended) {
        apply(CancelLongPrompt{});
    }
}

ErrorKind LongPromptSession::error() const
{
    return m_error;
}

bool LongPromptSession::notRun() const
{
    return m_notRun;
}

std::uint64_t LongPromptSession::promptTokens() const
{
    return m_promptTokens;
}

std::uint32_t LongPromptSession::tokens() const
{
    return m_tokens;
}

void LongPromptSession::handleAnswer(const Wire::PeerMessageT &message)
{
    if (const Wire::ReservationAnswerT *answer = message.body.AsReservationAnswer()) {
        const auto call = m_reservationCalls.extract(answer->call);
        if (!call.empty()) {
            apply(ReserveAtAnswered{UpstreamId(answer->upstream), call.mapped(), answer->granted});
        }
    } else if (const Wire::StreamStartT *start = message.body.AsStreamStart()) {
        if (m_runningStep && fromWire(*start->attempt) == m_runningStep->attempt) {
            m_runningStep->status = start->status;
        }
    } else if (const Wire::StreamDataT *data = message.body.AsStreamData()) {
        handleData(*data);
    } else if (const Wire::StreamEndT *end = message.body.AsStreamEnd()) {
        handleEnd(*end);
    }
}

void LongPromptSession::handleLinkBroken(const HostId &host)
{
    if (m_runningStep && m_runningStep->dispatcher == host) {
        endStep(false);
    }
}

void LongPromptSession::handleData(const Wire::StreamDataT &data)
{
    const bool isAnswer = m_runningStep && fromWire(*data.attempt) == m_runningStep->attempt && m_runningStep->step.kind == ChainStepKind::Decode
        && m_runningStep->status == statusOk;
    if (!isAnswer || data.index < m_tokens) {
        return;
    }
    if (data.index > m_tokens) {
        endStep(false);
        return;
    }
    ++m_tokens;
    m_pendingTexts.emplace_back(data.data.begin(), data.data.end());
    m_eventTimer.cancel();
    if (m_pendingTexts.size() >= maxPendingTexts && !m_paused) {
        setPaused(true);
    }
}

void LongPromptSession::handleEnd(const Wire::StreamEndT &end)
{
    if (!m_runningStep || fromWire(*end.attempt) != m_runningStep->attempt) {
        return;
    }
    bool succeeded = end.outcome == Wire::StreamOutcome::Completed && m_runningStep->status == statusOk;
    if (m_runningStep->step.kind == ChainStepKind::Decode) {
        succeeded = succeeded && end.tokens == m_tokens;
        m_promptTokens = end.prompt_tokens;
        m_worker.router().observePrompt(m_request.profile.model, m_request.promptBytes, end.prompt_tokens);
    }
    m_stepError = static_cast<ErrorKind>(end.error);
    m_worker.forget(m_runningStep->attempt);
    const RunningStep ended = *std::exchange(m_runningStep, std::nullopt);
    apply(ChainStepEnded{ended.step.segment.upstream, ended.step.owner, ended.step.kind, succeeded, ended.block});
}

void LongPromptSession::endStep(bool succeeded)
{
    const RunChainStep step = m_runningStep->step;
    cancelStep();
    apply(ChainStepEnded{step.segment.upstream, step.owner, step.kind, succeeded, {}});
}

void LongPromptSession::apply(const Event &event)
{
    m_events.push_back(event);
    if (m_applying) {
        return;
    }
    m_applying = true;
    while (!m_events.empty()) {
        const Event next = std::move(m_events.front());
        m_events.pop_front();
        for (const LongPromptAction &action : passToCoordinator(next)) {
            std::visit(
                [this](const auto &typed) {
                    execute(typed);
                },
                action);
        }
    }
    m_applying = false;
}

LongPromptActions LongPromptSession::passToCoordinator(const Event &event)
{
    if (const auto *answered = std::get_if<ReserveAtAnswered>(&event)) {
        return m_coordinator.handle(*answered, now(), m_worker.router().random());
    }
    if (const auto *ended = std::get_if<ChainStepEnded>(&event)) {
        return m_coordinator.handle(*ended, now());
    }
    if (const auto *cancelled = std::get_if<CancelLongPrompt>(&event)) {
        return m_coordinator.handle(*cancelled, now());
    }
    return m_coordinator.handle(LongPromptTick{}, now(), m_worker.router().random());
}

void LongPromptSession::execute(const ReserveAt &action)
{
    Wire::ReservationCallT call;
    call.operation = action.isRenewal ? Wire::ReservationOperation::Renew : Wire::ReservationOperation::Reserve;
    call.upstream = action.upstream.value();
    call.owner = toWire(action.owner);
    call.tokens = action.tokens;
    m_reservationCalls[m_worker.callReservation(std::move(call), *this)] = action.owner;
}

void LongPromptSession::execute(const ReleaseAt &action)
{
    Wire::ReservationCallT call;
    call.operation = Wire::ReservationOperation::Release;
    call.upstream = action.upstream.value();
    call.owner = toWire(action.owner);
    m_worker.releaseReservation(std::move(call));
}

void LongPromptSession::execute(const RunChainStep &action)
{
    if (action.kind == ChainStepKind::Prefill) {
        // No call is needed: the engine prefills the segment as part of the export or of the last call.
        apply(ChainStepEnded{action.segment.upstream, action.owner, action.kind, true, {}});
        return;
    }
    RunningStep running;
    running.step = action;
    running.attempt = m_worker.newAttempt();
    const auto &dispatchers = m_worker.snapshot().dispatchers;
    const auto dispatcher = dispatchers.find(action.segment.upstream);
    running.dispatcher = dispatcher == dispatchers.end() ? HostId() : dispatcher->second;
    if (action.kind == ChainStepKind::Export) {
        running.block = kvBlockId(action.owner, m_exportCount++);
    }
    m_runningStep = std::move(running);
    m_worker.dispatch(makeDispatch(action), *this);
}

void LongPromptSession::execute(const LongPromptEnded &action)
{
    cancelStep();
    const bool hasStepError = action.error == ErrorKind::UpstreamFailed && m_stepError != ErrorKind::None;
    m_error = hasStepError ? m_stepError : action.error;
    m_notRun = m_error != ErrorKind::None && reportsNotRun(m_error, action.anyStepSent);
    m_ended = true;
    m_tickTimer.cancel();
    m_eventTimer.cancel();
}

Wire::DispatchT LongPromptSession::makeDispatch(const RunChainStep &step) const
{
    const bool prefills = step.kind != ChainStepKind::Import;
    Wire::DispatchT dispatch;
    dispatch.attempt = toWire(m_runningStep->attempt);
    dispatch.connection = stepConnection;
    dispatch.request = m_request.id.value();
    dispatch.organisation = m_request.profile.organisation.value();
    dispatch.weight = m_request.weight;
    dispatch.upstream = step.segment.upstream.value();
    dispatch.prompt_tokens = prefills ? step.segment.promptTokens : 0;
    dispatch.uncached_tokens = dispatch.prompt_tokens;
    dispatch.length_class = static_cast<std::uint8_t>(prefills ? m_request.profile.lengthClass : LengthClass::Short);
    dispatch.remaining_us = std::chrono::duration_cast<std::chrono::microseconds>(m_request.profile.deadline - now()).count();
    dispatch.idempotent = true;
    dispatch.token_stream = step.kind == ChainStepKind::Decode;
    dispatch.method = m_request.method;
    dispatch.target = targetOf(step.kind);
    dispatch.headers = toWire(m_request.headers);
    const std::string body = stepBody(step);
    dispatch.body.assign(body.begin(), body.end());
    dispatch.trace_parent = m_request.traceParent;
    return dispatch;
}

std::string LongPromptSession::stepBody(const RunChainStep &step) const
{
    if (step.kind == ChainStepKind::Export) {
        return nlohmann::json{{"id", m_runningStep->block.value()}, {"tokens", step.segment.promptTokens}}.dump();
    }
    if (step.kind == ChainStepKind::Import) {
        // The block's memory stays with the engine that exported it, so the import takes none.
        return nlohmann::json{{"id", step.block.value()}, {"tokens", 0}}.dump();
    }
    nlohmann::json body = nlohmann::json::parse(m_request.makeBody({}));
    body["remote_tokens"] = step.segment.firstToken;
    return body.dump();
}

void LongPromptSession::cancelStep()
{
    if (!m_runningStep) {
        return;
    }
    Wire::CancelT cancel;
    cancel.attempt = toWire(m_runningStep->attempt);
    cancel.connection = std::numeric_limits<std::uint64_t>::max();
    cancel.upstream = m_runningStep->step.segment.upstream.value();
    cancel.stop = true;
    m_worker.forget(m_runningStep->attempt);
    m_runningStep.reset();
    m_worker.cancel(std::move(cancel));
}

void LongPromptSession::setPaused(bool paused)
{
    m_paused = paused;
    if (!m_runningStep) {
        return;
    }
    Wire::FlowT flow;
    flow.attempt = toWire(m_runningStep->attempt);
    flow.connection = stepConnection;
    flow.upstream = m_runningStep->step.segment.upstream.value();
    flow.paused = paused;
    m_worker.setFlow(std::move(flow));
}

void LongPromptSession::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this, alive = m_alive](const boost::system::error_code &error) {
        if (error || !*alive || m_ended) {
            return;
        }
        apply(LongPromptTick{});
        if (!m_ended) {
            scheduleTick();
        }
    });
}

}
