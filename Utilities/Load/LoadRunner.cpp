#include "Load/LoadRunner.h"

#include "Load/StreamCheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace Mangofall::Load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr int httpOk = 200;
constexpr unsigned httpConflict = 409; // Another call with the same idempotency key is in progress.
constexpr unsigned firstServerError = 500;
constexpr int httpVersion = 11;
constexpr std::chrono::milliseconds orderRetryDelay{200}; // Service time between the calls of one order.

tcp::endpoint parseTarget(const std::string &target)
{
    const std::size_t colon = target.rfind(':');
    boost::system::error_code error;
    const auto address = asio::ip::make_address(target.substr(0, colon), error);
    const int port = colon == std::string::npos ? 0 : std::atoi(target.c_str() + colon + 1);
    if (error || port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        throw std::invalid_argument("target \"" + target + "\" is not an IP address and a port joined by a colon");
    }
    return {address, static_cast<std::uint16_t>(port)};
}

/// Sets the kind and detail of \p result from the status and JSON body of an error answer.
void readError(int status, const std::string &body, RequestResult &result)
{
    const nlohmann::json error = nlohmann::json::parse(body, nullptr, false);
    const bool notRun = error.is_object() && error.contains("not_run") && error["not_run"] == true;
    result.kind = notRun ? ResultKind::RefusedNotRun : ResultKind::Failed;
    result.detail = std::to_string(status);
    if (error.is_object() && error.contains("kind") && error["kind"].is_string()) {
        result.detail += " " + error["kind"].get<std::string>();
    }
}

void classifyStream(const StreamCheck &check, std::uint32_t tokens, RequestResult &result)
{
    if (check.whole(tokens)) {
        result.kind = ResultKind::Complete;
    } else if (!check.inOrder()) {
        result.detail = "stream out of order";
    } else if (check.failed()) {
        result.kind = check.notRun() ? ResultKind::RefusedNotRun : ResultKind::Failed;
        result.detail = "error event";
    } else {
        result.detail = "stream incomplete";
    }
}

}

LoadRunner::LoadRunner(LoadOptions options)
    : m_options(std::move(options))
    , m_context(1)
{
    std::transform(m_options.targets.begin(), m_options.targets.end(), std::back_inserter(m_targets), parseTarget);
}

LoadReport LoadRunner::run()
{
    m_start = std::chrono::steady_clock::now();
    asio::co_spawn(m_context, startRequests(makePlan(m_options)), asio::detached);
    m_context.run();
    return std::move(m_report);
}

awaitable<void> LoadRunner::startRequests(std::vector<PlannedRequest> plan)
{
    asio::steady_timer timer(m_context);
    for (const PlannedRequest &planned : plan) {
        timer.expires_at(intendedStart(planned));
        co_await timer.async_wait(use_awaitable);
        if (m_inFlight >= m_options.maxInFlight) {
            RequestResult result;
            result.kind = ResultKind::NotSent;
            result.order = planned.order;
            result.promptTokens = planned.promptTokens;
            m_report.add(result);
            continue;
        }
        ++m_inFlight;
        asio::co_spawn(m_context, runRequest(planned), asio::detached);
    }
}

awaitable<void> LoadRunner::runRequest(PlannedRequest planned)
{
    RequestResult result;
    result.order = planned.order;
    result.promptTokens = planned.promptTokens;
    try {
        if (planned.order) {
            co_await runOrder(planned, result);
        } else {
            co_await runCompletion(planned, result);
        }
    } catch (const boost::system::system_error &error) {
        result.detail = error.code().message();
    }
    result.total = elapsed(intendedStart(planned));
    m_report.add(result);
    --m_inFlight;
}

awaitable<void> LoadRunner::runCompletion(PlannedRequest planned, RequestResult &result)
{
    boost::beast::tcp_stream stream(m_context);
    stream.expires_at(deadline(planned));
    boost::system::error_code error;
    co_await stream.async_connect(m_targets[planned.target], asio::redirect_error(use_awaitable, error));
    if (error) {
        result.kind = ResultKind::NotConnected;
        result.detail = error.message();
        co_return;
    }
    Request request = makeCompletion(planned);
    co_await http::async_write(stream, request, use_awaitable);
    request.body() = std::string();
    co_await readAnswer(stream, intendedStart(planned), result);
}

awaitable<void> LoadRunner::readAnswer(boost::beast::tcp_stream &stream, TimePoint intendedStartTime, RequestResult &result)
{
    constexpr std::size_t readBufferBytes = std::size_t{16} * 1024;
    constexpr std::size_t maxErrorBytes = std::size_t{64} * 1024;
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser, use_awaitable);
    const int status = parser.get().result_int();
    std::vector<char> readBuffer(readBufferBytes);
    std::string errorBody;
    StreamCheck check;
    TimePoint previous;
    boost::system::error_code error;
    while (!parser.is_done() && !error) {
        parser.get().body().data = readBuffer.data();
        parser.get().body().size = readBuffer.size();
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        const std::string_view bytes(readBuffer.data(), readBuffer.size() - parser.get().body().size);
        if (status != httpOk) {
            errorBody.append(bytes.substr(0, maxErrorBytes - std::min(maxErrorBytes, errorBody.size())));
            continue;
        }
        if (check.take(bytes) > 0) {
            const TimePoint now = std::chrono::steady_clock::now();
            if (result.firstToken == Duration(0)) {
                result.firstToken = elapsed(intendedStartTime);
            } else {
                result.gaps.push_back(toDuration(Seconds(now - previous) * m_options.timeScale));
            }
            previous = now;
        }
    }
    if (status != httpOk) {
        readError(status, errorBody, result);
    } else {
        classifyStream(check, m_options.answerTokens, result);
    }
    if (error && result.kind == ResultKind::GuaranteeBroken) {
        result.detail += ": " + error.message();
    }
}

awaitable<void> LoadRunner::runOrder(PlannedRequest planned, RequestResult &result)
{
    for (std::uint32_t attempt = 0; attempt < m_options.orderTries; ++attempt) {
        if (attempt > 0) {
            asio::steady_timer timer(m_context, toDuration(Seconds(orderRetryDelay) / m_options.timeScale));
            co_await timer.async_wait(use_awaitable);
        }
        boost::beast::tcp_stream stream(m_context);
        stream.expires_at(deadline(planned));
        boost::system::error_code error;
        const tcp::endpoint target = m_targets[(planned.target + attempt) % m_targets.size()];
        co_await stream.async_connect(target, asio::redirect_error(use_awaitable, error));
        if (error) {
            result.kind = ResultKind::NotConnected;
            result.detail = error.message();
            continue;
        }
        Request request = makeOrder(planned);
        co_await http::async_write(stream, request, asio::redirect_error(use_awaitable, error));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        if (!error) {
            co_await http::async_read(stream, buffer, answer, asio::redirect_error(use_awaitable, error));
        }
        if (error) {
            result.kind = ResultKind::GuaranteeBroken;
            result.detail = error.message();
            continue;
        }
        if (answer.result_int() == httpOk) {
            const nlohmann::json body = nlohmann::json::parse(answer.body(), nullptr, false);
            const bool once = !body.is_object() || body.value("runs", 1) == 1;
            result.kind = once ? ResultKind::Complete : ResultKind::GuaranteeBroken;
            result.detail = once ? "" : "order ran twice";
            co_return;
        }
        readError(static_cast<int>(answer.result_int()), answer.body(), result);
        const bool mayRetry = answer.result_int() >= firstServerError || answer.result_int() == httpConflict;
        if (!mayRetry) {
            co_return;
        }
    }
}

LoadRunner::Request LoadRunner::makeCompletion(const PlannedRequest &planned) const
{
    Request request(http::verb::post, "/v1/completions", httpVersion);
    request.set(http::field::host, "mangofall");
    request.set(http::field::content_type, "application/json");
    addKey(request, planned);
    const nlohmann::json body
        = {{"model", m_options.model}, {"prompt", makePrompt(m_options, planned)}, {"max_tokens", m_options.answerTokens}, {"stream", true}};
    request.body() = body.dump();
    request.prepare_payload();
    return request;
}

LoadRunner::Request LoadRunner::makeOrder(const PlannedRequest &planned) const
{
    Request request(http::verb::post, m_options.orderPath, httpVersion);
    request.set(http::field::host, "mangofall");
    request.set(http::field::content_type, "application/json");
    request.set("idempotency-key", "load-" + std::to_string(m_options.seed) + "-" + std::to_string(planned.number));
    addKey(request, planned);
    const nlohmann::json body = {{"item", planned.number}};
    request.body() = body.dump();
    request.prepare_payload();
    return request;
}

void LoadRunner::addKey(Request &request, const PlannedRequest &planned) const
{
    if (!m_options.organisations.empty()) {
        request.set(http::field::authorization, "Bearer " + m_options.organisations[planned.organisation].second);
    }
}

TimePoint LoadRunner::intendedStart(const PlannedRequest &planned) const
{
    return m_start + toDuration(Seconds(planned.at) / m_options.timeScale);
}

TimePoint LoadRunner::deadline(const PlannedRequest &planned) const
{
    return intendedStart(planned) + toDuration(Seconds(m_options.timeout) / m_options.timeScale);
}

Duration LoadRunner::elapsed(TimePoint since) const
{
    return toDuration(Seconds(std::chrono::steady_clock::now() - since) * m_options.timeScale);
}

}
