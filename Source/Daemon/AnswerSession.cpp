#include "Daemon/AnswerSession.h"

#include "Daemon/WireAttempt.h"
#include "Daemon/WireDispatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

// Bound on the text kept for a continuation on another upstream; a longer answer cannot fail over once it began.
constexpr std::size_t maxContinuationBytes = 4UL * 1024 * 1024;

StreamRequest toStreamRequest(const AnswerRequest &request)
{
    StreamRequest stream;
    stream.id = request.id;
    stream.organisation = request.profile.organisation;
    stream.idempotent = request.profile.idempotent;
    stream.deadline = request.profile.deadline;
    return stream;
}

}

AnswerSession::AnswerSession(TrafficWorker &worker, AnswerRequest request)
    : m_worker(worker)
    , m_request(std::move(request))
    , m_guard(worker, m_request.profile.deadline)
    , m_session(toStreamRequest(m_request), StreamLimits{}, worker.router().retryBudget(m_request.profile), worker.router().random())
    , m_timer(worker.context())
    , m_startedAt(std::chrono::steady_clock::now())
{
    m_applying = true;
    const std::vector<StreamAction> actions = m_session.start(std::chrono::steady_clock::now());
    executeActions(actions);
    m_applying = false;
    if (!m_events.empty()) {
        const StreamEvent event = std::move(m_events.front());
        m_events.pop_front();
        apply(event);
    }
}

AnswerSession::~AnswerSession()
{
    callerLeft();
    m_worker.forget(m_attempt);
    for (const auto &[call, probe] : m_probes) {
        m_worker.forgetCall(call);
    }
}

Asio::awaitable<std::optional<std::string>> AnswerSession::next()
{
    if (m_awaitingWrite) {
        m_awaitingWrite = false;
        apply(CallerReady{});
    }
    while (m_pendingTexts.empty() && !m_ended) {
        m_timer.expires_at(m_session.nextTick());
        const auto [error] = co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        if (!error) {
            apply(StreamTick{});
        }
    }
    if (m_pendingTexts.empty()) {
        co_return std::nullopt;
    }
    std::string text = std::move(m_pendingTexts.front());
    m_pendingTexts.pop_front();
    m_awaitingWrite = true;
    co_return text;
}

void AnswerSession::callerLeft()
{
    if (!m_ended) {
        apply(CallerLeft{});
        m_ended = true;
        wakeReader();
    }
}

ErrorKind AnswerSession::error() const
{
    return m_error;
}

bool AnswerSession::notRun() const
{
    return m_notRun;
}

unsigned AnswerSession::upstreamStatus() const
{
    return m_status;
}

const std::string &AnswerSession::contentType() const
{
    return m_contentType;
}

std::uint64_t AnswerSession::promptTokens() const
{
    return m_promptTokens;
}

std::uint32_t AnswerSession::tokens() const
{
    return m_tokens;
}

void AnswerSession::handleAnswer(const Wire::PeerMessageT &message)
{
    if (const Wire::StreamDataT *data = message.body.AsStreamData()) {
        apply(TokenReceived{fromWire(*data->attempt), data->connection, data->index, std::string(data->data.begin(), data->data.end())});
    } else if (const Wire::StreamStartT *start = message.body.AsStreamStart()) {
        if (fromWire(*start->attempt) == m_attempt) {
            m_status = start->status;
            m_contentType = start->content_type;
        }
    } else if (const Wire::StreamEndT *end = message.body.AsStreamEnd()) {
        handleEnd(*end);
    } else if (const Wire::ProbeAnswerT *answer = message.body.AsProbeAnswer()) {
        const auto probe = m_probes.extract(answer->call);
        if (!probe.empty()) {
            apply(ProbeAnswered{probe.mapped(), answer->responsive});
        }
    }
}

void AnswerSession::handleLinkBroken(const HostId &)
{
    if (!m_ended) {
        apply(ConnectionBroken{m_attempt, m_connection});
    }
}

void AnswerSession::handleEnd(const Wire::StreamEndT &end)
{
    const AttemptId attempt = fromWire(*end.attempt);
    if (attempt == m_attempt && end.prompt_tokens > 0) {
        m_promptTokens = end.prompt_tokens;
        m_worker.router().observePrompt(m_request.profile.model, m_request.promptBytes, end.prompt_tokens);
    }
    if (!end.run_at.empty()) {
        m_runAt = HostId(end.run_at);
    }
    switch (end.outcome) {
    case Wire::StreamOutcome::Completed:
        apply(StreamCompleted{attempt, end.connection, end.tokens});
        break;
    case Wire::StreamOutcome::Refused:
        apply(AttemptRefused{attempt, end.connection, static_cast<ErrorKind>(end.error)});
        break;
    case Wire::StreamOutcome::ResumeRejected:
        apply(ResumeRejected{attempt, end.connection});
        break;
    case Wire::StreamOutcome::Broken:
        apply(ConnectionBroken{attempt, end.connection});
        break;
    }
}

void AnswerSession::apply(const StreamEvent &event)
{
    m_events.push_back(event);
    if (m_applying) {
        return;
    }
    m_applying = true;
    while (!m_events.empty()) {
        const StreamEvent next = std::move(m_events.front());
        m_events.pop_front();
        executeActions(m_session.handle(next, std::chrono::steady_clock::now()));
    }
    m_applying = false;
}

void AnswerSession::executeActions(const std::vector<StreamAction> &actions)
{
    for (const StreamAction &action : actions) {
        std::visit(
            [this](const auto &typed) {
                execute(typed);
            },
            action);
    }
}

void AnswerSession::execute(const ChooseUpstream &action)
{
    if (!m_cachedTokens.empty()) {
        m_worker.host().metrics.retries(action.firstToken > 0 ? "continue" : "fail_over").Increment();
    }
    const std::optional<UpstreamChoice> choice = m_worker.router().choose(m_request.profile, action.excluded, m_runAt);
    if (!choice) {
        apply(UpstreamUnavailable{action.choice, ErrorKind::NoUpstream});
        return;
    }
    m_cachedTokens[choice->upstream] = choice->cachedTokens;
    apply(UpstreamChosen{action.choice, choice->upstream, m_worker.newAttempt()});
}

void AnswerSession::execute(const OpenAttempt &action)
{
    if (action.resumes) {
        m_worker.host().metrics.retries("resume").Increment();
    }
    if (action.attempt != m_attempt) {
        m_worker.forget(m_attempt);
        m_attempt = action.attempt;
    }
    m_upstream = action.upstream;
    m_connection = action.connection;
    Wire::DispatchT dispatch;
    dispatch.attempt = toWire(action.attempt);
    dispatch.connection = action.connection;
    dispatch.request = m_request.id.value();
    dispatch.organisation = m_request.profile.organisation.value();
    dispatch.weight = m_request.weight;
    dispatch.upstream = action.upstream.value();
    dispatch.prompt_tokens = m_request.profile.promptTokens;
    dispatch.uncached_tokens = m_request.profile.promptTokens - m_cachedTokens[action.upstream];
    dispatch.length_class = static_cast<std::uint8_t>(m_request.profile.lengthClass);
    const Duration remaining = m_request.profile.deadline - std::chrono::steady_clock::now();
    dispatch.remaining_us = std::chrono::duration_cast<std::chrono::microseconds>(remaining).count();
    dispatch.idempotent = m_request.profile.idempotent;
    dispatch.token_stream = m_request.tokenStream;
    dispatch.method = m_request.method;
    dispatch.target = m_request.target;
    dispatch.headers = toWire(m_request.headers);
    const bool continues = action.firstToken > 0 && !action.resumes;
    const std::string body = m_request.makeBody(continues ? std::string_view(m_deliveredText) : std::string_view());
    dispatch.body.assign(body.begin(), body.end());
    dispatch.first_token = action.firstToken;
    dispatch.resumes = action.resumes;
    dispatch.trace_parent = m_request.traceParent;
    m_worker.dispatch(std::move(dispatch), *this);
}

void AnswerSession::execute(const CloseConnection &action)
{
    Wire::CancelT cancel;
    cancel.attempt = toWire(m_attempt);
    cancel.connection = action.connection;
    cancel.upstream = m_upstream.value();
    m_worker.cancel(std::move(cancel));
}

void AnswerSession::execute(const CancelAttempt &action)
{
    Wire::CancelT cancel;
    cancel.attempt = toWire(action.attempt);
    cancel.connection = std::numeric_limits<std::uint64_t>::max();
    cancel.upstream = action.upstream.value();
    cancel.stop = true;
    m_worker.cancel(std::move(cancel));
}

void AnswerSession::execute(const ProbeUpstream &action)
{
    m_probes[m_worker.probe(action.upstream, *this)] = action.probe;
}

void AnswerSession::execute(const SuspectUpstream &)
{
    // The upstream's dispatcher polls the upstream over new connections and decides on its state; the session only avoids it.
}

void AnswerSession::execute(const PauseReading &action)
{
    setPaused(action.connection, true);
}

void AnswerSession::execute(const ResumeReading &action)
{
    setPaused(action.connection, false);
}

void AnswerSession::execute(const Deliver &action)
{
    if (m_deliveredText.empty() && m_request.tokenStream) {
        const Seconds elapsed = std::chrono::steady_clock::now() - m_startedAt;
        m_worker.host().metrics.firstToken(nameOf(m_request.profile.lengthClass)).Observe(elapsed.count());
    }
    if (m_deliveredText.size() < maxContinuationBytes) {
        m_deliveredText += action.text;
    }
    m_pendingTexts.push_back(action.text);
    wakeReader();
}

void AnswerSession::execute(const Finish &action)
{
    m_tokens = action.tokens;
    m_ended = true;
    wakeReader();
}

void AnswerSession::execute(const Fail &action)
{
    m_error = action.kind;
    m_notRun = action.notRun;
    m_ended = true;
    wakeReader();
}

void AnswerSession::setPaused(std::uint64_t connection, bool paused)
{
    Wire::FlowT flow;
    flow.attempt = toWire(m_attempt);
    flow.connection = connection;
    flow.upstream = m_upstream.value();
    flow.paused = paused;
    m_worker.setFlow(std::move(flow));
}

void AnswerSession::wakeReader()
{
    m_timer.cancel();
}

}
