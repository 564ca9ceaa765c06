#include "Daemon/UpstreamExchange.h"

#include "Daemon/WireAttempt.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned firstServerError = 500;
constexpr std::size_t maxWholeAnswerBytes = 32UL * 1024 * 1024;
constexpr std::size_t maxPendingEventBytes = 1024UL * 1024;
constexpr std::string_view doneMarker = "[DONE]";

}

UpstreamExchange::UpstreamExchange(Asio::io_context &context,
                                   std::shared_ptr<UpstreamConnectionPool> pool,
                                   std::shared_ptr<const Wire::DispatchT> dispatch,
                                   int enginePriority,
                                   TimePoint deadline,
                                   UpstreamExchangeObserver &observer)
    : m_dispatch(std::move(dispatch))
    , m_enginePriority(enginePriority)
    , m_observer(&observer)
    , m_call(std::move(pool), deadline)
    , m_pauseTimer(context)
    , m_executor(context.get_executor())
{
    m_result.attempt = fromWire(*m_dispatch->attempt);
    m_result.connection = m_dispatch->connection;
}

void UpstreamExchange::start()
{
    Asio::co_spawn(
        m_executor,
        [self = shared_from_this()]() {
            return self->run();
        },
        Asio::detached);
}

void UpstreamExchange::cancel()
{
    m_cancelled = true;
    m_call.cancel();
    m_pauseTimer.cancel();
}

void UpstreamExchange::setPaused(bool paused)
{
    m_paused = paused;
    if (!paused) {
        m_pauseTimer.cancel();
    }
}

std::uint64_t UpstreamExchange::connection() const
{
    return m_result.connection;
}

Asio::awaitable<void> UpstreamExchange::run()
{
    const auto self = shared_from_this();
    m_sentAt = std::chrono::steady_clock::now();
    const boost::system::error_code error = co_await m_call.start(makeRequest());
    if (error) {
        m_result.connectFailed = m_call.connectFailed();
        m_result.outcome = m_call.anyBytesSent() ? Wire::StreamOutcome::Broken : Wire::StreamOutcome::Refused;
    } else if (!m_cancelled) {
        m_result.outcome = outcomeOfStatus(m_call.status());
    }
    if (!error && !m_cancelled && m_result.outcome == Wire::StreamOutcome::Completed) {
        m_observer->answerStarted(m_result.attempt, m_result.connection, m_call.status(), m_call.header("content-type"));
        const bool streamsTokens = m_dispatch->token_stream && m_call.status() == statusOk;
        m_result.outcome = streamsTokens ? co_await readTokenStream() : co_await readWholeBody();
    }
    if (!m_cancelled) {
        m_observer->exchangeEnded(m_result);
    }
}

Asio::awaitable<Wire::StreamOutcome> UpstreamExchange::readTokenStream()
{
    std::string chunk;
    while (!m_doneReceived && !m_cancelled) {
        co_await waitWhilePaused();
        const boost::system::error_code error = co_await m_call.read(chunk);
        if (error || chunk.empty() || m_cancelled) {
            co_return Wire::StreamOutcome::Broken;
        }
        m_eventParser.append(chunk);
        while (const std::optional<std::string> event = m_eventParser.next()) {
            if (!handleEvent(*event)) {
                co_return Wire::StreamOutcome::Broken;
            }
        }
        if (m_eventParser.pendingBytes() > maxPendingEventBytes) {
            co_return Wire::StreamOutcome::Broken;
        }
    }
    // Reads the rest of the body, so that the connection can be reused.
    co_await m_call.read(chunk);
    co_return Wire::StreamOutcome::Completed;
}

Asio::awaitable<Wire::StreamOutcome> UpstreamExchange::readWholeBody()
{
    std::string body;
    const boost::system::error_code error = co_await m_call.readAll(body, maxWholeAnswerBytes);
    if (error || m_cancelled) {
        co_return Wire::StreamOutcome::Broken;
    }
    reportData(0, body);
    m_result.tokens = 1;
    co_return Wire::StreamOutcome::Completed;
}

Asio::awaitable<void> UpstreamExchange::waitWhilePaused()
{
    while (m_paused && !m_cancelled) {
        m_pauseTimer.expires_at(TimePoint::max());
        co_await m_pauseTimer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

UpstreamCall::Request UpstreamExchange::makeRequest() const
{
    constexpr unsigned httpVersion = 11;
    UpstreamCall::Request request(BeastHttp::string_to_verb(m_dispatch->method), m_dispatch->target, httpVersion);
    for (const auto &header : m_dispatch->headers) {
        request.set(header->name, header->value);
    }
    request.set("x-attempt-id", toString(m_result.attempt));
    request.set("x-priority", std::to_string(m_enginePriority));
    request.set("traceparent", m_dispatch->trace_parent);
    if (m_dispatch->resumes || m_dispatch->first_token > 0) {
        request.set("x-resume-from", std::to_string(m_dispatch->first_token));
    }
    request.body().assign(m_dispatch->body.begin(), m_dispatch->body.end());
    return request;
}

Wire::StreamOutcome UpstreamExchange::outcomeOfStatus(unsigned status) const
{
    if (m_call.header("x-not-run") == "1") {
        return Wire::StreamOutcome::Refused;
    }
    if (!m_dispatch->token_stream || status == statusOk) {
        return Wire::StreamOutcome::Completed;
    }
    if (status == statusConflict && (m_dispatch->resumes || m_dispatch->first_token > 0)) {
        return Wire::StreamOutcome::ResumeRejected;
    }
    // Other client errors are passed on to the caller as the upstream's answer; server errors count as failures of the upstream.
    return status >= firstServerError ? Wire::StreamOutcome::Broken : Wire::StreamOutcome::Completed;
}

bool UpstreamExchange::handleEvent(const std::string &data)
{
    if (data == doneMarker) {
        m_doneReceived = true;
        return true;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object()) {
        return false;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
        m_result.promptTokens = event["usage"].value("prompt_tokens", std::uint64_t{0});
        m_result.cachedTokens = event["usage"].value("cached_tokens", std::uint64_t{0});
    }
    if (!event.contains("choices") || event["choices"].empty()) {
        m_result.tokens = event.value("index", m_result.tokens);
        return true;
    }
    const nlohmann::json &choice = event["choices"][0];
    const std::uint32_t index = event.value("index", m_result.tokens);
    m_result.tokens = index + 1;
    reportData(index, choice.value("text", std::string()));
    return true;
}

void UpstreamExchange::reportData(std::uint32_t index, std::string_view data)
{
    if (m_cancelled) {
        return;
    }
    if (m_result.prefill == Duration::zero()) {
        m_result.prefill = std::chrono::steady_clock::now() - m_sentAt;
        m_observer->firstTokenReceived(m_result.attempt);
    }
    m_observer->dataReceived(m_result.attempt, m_result.connection, index, data);
}

}
