#include "Daemon/CallerHandler.h"

#include "Base/ErrorAnswer.h"
#include "Base/Hash.h"
#include "Daemon/AnswerSession.h"
#include "Daemon/LongPromptRouting.h"
#include "Daemon/LongPromptSession.h"
#include "Daemon/TrafficWorker.h"
#include "Http/HttpExchange.h"
#include "Http/SseParser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view jsonType = "application/json";
constexpr std::string_view eventType = "text/event-stream";
constexpr std::size_t maxRequestIdLength = 128;
constexpr std::size_t maxIdempotencyKeyLength = 256;

std::string errorBody(ErrorKind kind, bool notRun, const RequestId &id, std::string message)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    nlohmann::json error = {{"kind", answer.name}, {"not_run", notRun}, {"request_id", id.value()}};
    error["message"] = message.empty() ? std::string(answer.message) : std::move(message);
    if (answer.callerMayRetry) {
        error["retry_after_ms"] = answer.retryAfter.count();
    }
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RequestId requestIdOf(const HttpExchange &exchange, TrafficWorker &worker)
{
    const std::string_view given = exchange.header("x-request-id");
    if (!given.empty() && given.size() <= maxRequestIdLength) {
        return RequestId(std::string(given));
    }
    return RequestId(toString(worker.newAttempt()));
}

std::string_view pathOf(const HttpExchange &exchange)
{
    const std::string_view target(exchange.request().target().data(), exchange.request().target().size());
    return target.substr(0, target.find('?'));
}

// Time limit of the whole request: that of the preset or route, or the caller's x-deadline-ms if it is shorter.
Duration deadlineOf(const HttpExchange &exchange, std::chrono::milliseconds preset)
{
    const std::string_view header = exchange.header("x-deadline-ms");
    std::int64_t value = 0;
    const auto result = std::from_chars(header.data(), header.data() + header.size(), value);
    const bool valid = result.ec == std::errc() && result.ptr == header.data() + header.size() && value > 0;
    return valid ? std::min(preset, std::chrono::milliseconds(value)) : preset;
}

// Organisations choose their keys independently, so the organisation is part of the key. The status call carries the
// result in its path, so all characters except letters, digits, '_', '.' and '-' are percent-encoded.
OrderKey qualifiedOrderKey(const OrganisationId &organisation, std::string_view key)
{
    std::string text = organisation.value() + ":";
    for (const char character : key) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '_' || character == '.' || character == '-') {
            text += character;
        } else {
            std::array<char, 4> encoded{};
            std::snprintf(encoded.data(), encoded.size(), "%%%02X", static_cast<unsigned>(byte));
            text += encoded.data();
        }
    }
    return OrderKey(text);
}

// Tells the session when the caller closes the connection. The connection outlives the session, so the callback does nothing
// once the returned pointer is released.
std::shared_ptr<AnswerSource *> watchCaller(HttpExchange &exchange, AnswerSource &session)
{
    auto watchedSource = std::make_shared<AnswerSource *>(&session);
    exchange.watchForClose([weak = std::weak_ptr(watchedSource)] {
        if (const auto source = weak.lock()) {
            (*source)->callerLeft();
        }
    });
    return watchedSource;
}

}

CallerHandler::CallerHandler(TrafficWorker &worker)
    : m_worker(worker)
{
}

Asio::awaitable<void> CallerHandler::handle(HttpExchange &exchange)
{
    const std::string_view path = pathOf(exchange);
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        co_await handleStatus(exchange);
        co_return;
    }
    AdmittedRequest admitted;
    const ErrorKind refusal = admit(exchange, admitted);
    if (refusal != ErrorKind::None) {
        co_await refuse(exchange, refusal, reportsNotRun(refusal, false), admitted.id);
        co_return;
    }
    co_await route(exchange, std::move(admitted));
}

Asio::awaitable<void> CallerHandler::handleUnreadable(HttpExchange &exchange, unsigned status)
{
    const ErrorKind kind = status == statusTooLarge ? ErrorKind::RequestTooLarge : ErrorKind::MalformedRequest;
    if (status == statusHeaderTooLarge) {
        co_await exchange.respond(status, std::string(jsonType), errorBody(kind, true, RequestId(), "the header is too large"));
        co_return;
    }
    co_await refuse(exchange, kind, true, RequestId());
}

Asio::awaitable<void> CallerHandler::route(HttpExchange &exchange, AdmittedRequest admitted)
{
    const std::string_view path = pathOf(exchange);
    const bool post = exchange.request().method() == BeastHttp::verb::post;
    if (path == "/v1/completions" && post) {
        co_await handleCompletion(exchange, admitted, CompletionKind::Text);
    } else if (path == "/v1/chat/completions" && post) {
        co_await handleCompletion(exchange, admitted, CompletionKind::Chat);
    } else if (path == "/v1/models") {
        co_await handleModels(exchange);
    } else if (const RouteSpec *found = m_worker.snapshot().routing->routeOf(path)) {
        const RouteSpec route = *found;
        if (route.idempotent) {
            co_await handlePlain(exchange, admitted, route);
        } else {
            co_await handleOrder(exchange, admitted, route);
        }
    } else {
        co_await refuse(exchange, ErrorKind::UnknownRoute, true, admitted.id);
    }
}

ErrorKind CallerHandler::admit(HttpExchange &exchange, AdmittedRequest &admitted)
{
    admitted.id = requestIdOf(exchange, m_worker);
    admitted.start = std::chrono::system_clock::now();
    const auto parent = traceContextFromHeader(exchange.header("traceparent"));
    admitted.trace = parent ? makeChildContext(*parent, m_worker.router().random()) : makeRootContext(m_worker.router().random());
    admitted.parentSpanId = parent ? parent->span : 0;
    const ControlSnapshot &snapshot = m_worker.snapshot();
    if (snapshot.leaving) {
        return ErrorKind::HostLeaving;
    }
    if (!snapshot.routing || !snapshot.admitting) {
        return ErrorKind::NotReady;
    }
    const std::string_view authorization = exchange.header("authorization");
    if (!authorization.starts_with(bearerPrefix)) {
        return ErrorKind::UnknownOrganisation;
    }
    const OrganisationSpec *organisation = snapshot.routing->organisationOfKey(std::string(authorization.substr(bearerPrefix.size())));
    if (organisation == nullptr) {
        return ErrorKind::UnknownOrganisation;
    }
    admitted.organisation = *organisation;
    return ErrorKind::None;
}

Asio::awaitable<void> CallerHandler::handleCompletion(HttpExchange &exchange, const AdmittedRequest &admitted, CompletionKind kind)
{
    const TimePoint arrival = std::chrono::steady_clock::now();
    auto parsed = parseCompletion(kind, exchange.request().body());
    if (const auto *problem = std::get_if<RequestProblem>(&parsed)) {
        co_await refuse(exchange, problem->kind, true, admitted.id, problem->message);
        co_return;
    }
    exchange.request().body().clear();
    const auto request = std::make_shared<const CompletionRequest>(std::move(std::get<CompletionRequest>(parsed)));
    const RoutingIndex &routing = *m_worker.snapshot().routing;
    const Preset &preset = routing.preset();
    if (routing.upstreamsOf(request->model).empty()) {
        co_await refuse(exchange, ErrorKind::UnknownModel, true, admitted.id);
        co_return;
    }
    if (!preset.admitModelRequests) {
        co_await refuse(exchange, ErrorKind::NoUpstream, true, admitted.id, "model requests are not admitted under the preset in force");
        co_return;
    }
    AnswerRequest answer;
    answer.profile = m_worker.router().profile(request->model, request->prompt, request->prompt.size(), arrival);
    answer.profile.organisation = admitted.organisation.id;
    const bool isShort = answer.profile.lengthClass == LengthClass::Short;
    answer.profile.deadline = arrival + deadlineOf(exchange, isShort ? preset.shortDeadline : preset.longDeadline);
    answer.weight = admitted.organisation.weight;
    answer.id = admitted.id;
    answer.method = "POST";
    answer.target = "/v1/completions";
    answer.headers = {{"content-type", std::string(jsonType)}};
    answer.promptBytes = request->prompt.size();
    answer.traceParent = toHeader(admitted.trace);
    answer.makeBody = [request](std::string_view continuation) {
        return engineBody(*request, continuation);
    };
    const std::uint64_t promptTokens = answer.profile.promptTokens;
    const ErrorKind limited = m_worker.host().limits.admit(arrival, admitted.organisation.id, promptTokens);
    if (limited != ErrorKind::None) {
        co_await refuse(exchange, limited, true, admitted.id);
        co_return;
    }
    const HostLimits::Admission admission(m_worker.host().limits, admitted.organisation.id, promptTokens);
    if (exceedsEveryEngine(answer.profile.promptTokens, routing.upstreamsOf(request->model))) {
        co_await handleLongPrompt(exchange, admitted, *request, std::move(answer));
        co_return;
    }
    const std::string lengthClass = nameOf(answer.profile.lengthClass);
    AnswerSession session(m_worker, std::move(answer));
    const auto watchedSource = watchCaller(exchange, session);
    co_await writeAnswer(exchange, session, *request, admitted.id);
    recordSpan(admitted, "completion " + lengthClass, session.error());
}

Asio::awaitable<void>
CallerHandler::handleLongPrompt(HttpExchange &exchange, const AdmittedRequest &admitted, const CompletionRequest &request, AnswerRequest answer)
{
    const std::vector<EngineMemory> engines = engineMemories(m_worker.snapshot(), request.model);
    const LongPromptPlanResult result = LongPromptPlanner::plan(answer.profile.promptTokens, request.maxTokens, engines);
    if (const auto *refusal = std::get_if<ErrorKind>(&result)) {
        co_await refuse(exchange, *refusal, reportsNotRun(*refusal, false), admitted.id);
        co_return;
    }
    LongPromptSession session(m_worker, std::move(answer), std::get<LongPromptPlan>(result));
    const auto watchedSource = watchCaller(exchange, session);
    co_await writeAnswer(exchange, session, request, admitted.id);
    recordSpan(admitted, "completion on several engines", session.error());
}

Asio::awaitable<void> CallerHandler::writeAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id)
{
    if (request.stream) {
        co_await streamAnswer(exchange, session, request, id);
    } else {
        co_await collectAnswer(exchange, session, request, id);
    }
}

Asio::awaitable<void> CallerHandler::streamAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id)
{
    std::uint64_t eventNumber = 0;
    while (const std::optional<std::string> text = co_await session.next()) {
        const HeaderFields fields = {{"x-request-id", id.value()}};
        if (!exchange.started() && !co_await exchange.startStream(statusOk, std::string(eventType), fields)) {
            session.callerLeft();
            break;
        }
        if (!co_await exchange.writeChunk(formatSseEvent(std::to_string(eventNumber++), answerChunk(request, id, *text)))) {
            session.callerLeft();
            break;
        }
    }
    if (session.error() != ErrorKind::None && !exchange.started()) {
        co_await refuse(exchange, session.error(), session.notRun(), id);
        co_return;
    }
    if (session.error() != ErrorKind::None) {
        co_await abortStream(exchange, session.error(), id);
        co_return;
    }
    countAnswer(ErrorKind::None);
    const bool started = exchange.started() || co_await exchange.startStream(statusOk, std::string(eventType));
    if (started
        && co_await exchange.writeChunk(formatSseEvent("", answerLastChunk(request, id, session.promptTokens(), session.tokens()))
                                        + formatSseEvent("", "[DONE]"))) {
        co_await exchange.finishStream();
    }
}

Asio::awaitable<void> CallerHandler::collectAnswer(HttpExchange &exchange, AnswerSource &session, const CompletionRequest &request, const RequestId &id)
{
    std::string text;
    while (const std::optional<std::string> part = co_await session.next()) {
        text += *part;
    }
    if (session.error() != ErrorKind::None) {
        co_await refuse(exchange, session.error(), session.notRun(), id);
        co_return;
    }
    countAnswer(ErrorKind::None);
    const HeaderFields fields = {{"x-request-id", id.value()}};
    co_await exchange.respond(statusOk, std::string(jsonType), wholeAnswer(request, id, text, session.promptTokens(), session.tokens()), fields);
}

Asio::awaitable<void> CallerHandler::handleModels(HttpExchange &exchange)
{
    nlohmann::json models = nlohmann::json::array();
    for (const ModelId &model : m_worker.snapshot().routing->models()) {
        models.push_back({{"id", model.value()}, {"object", "model"}});
    }
    nlohmann::json list;
    list["object"] = "list";
    list["data"] = std::move(models);
    co_await exchange.respond(statusOk, std::string(jsonType), list.dump());
}

Asio::awaitable<void> CallerHandler::handlePlain(HttpExchange &exchange, const AdmittedRequest &admitted, const RouteSpec &route)
{
    AnswerRequest answer;
    answer.profile.service = route.service;
    answer.profile.organisation = admitted.organisation.id;
    answer.profile.deadline = std::chrono::steady_clock::now() + deadlineOf(exchange, route.deadline);
    answer.weight = admitted.organisation.weight;
    answer.id = admitted.id;
    answer.method = std::string(exchange.request().method_string());
    answer.target = std::string(exchange.request().target());
    answer.headers = {{"content-type", std::string(exchange.header("content-type"))}};
    answer.tokenStream = false;
    answer.traceParent = toHeader(admitted.trace);
    answer.makeBody = [body = std::move(exchange.request().body())](std::string_view) {
        return body;
    };
    AnswerSession session(m_worker, std::move(answer));
    const auto watchedSource = watchCaller(exchange, session);
    std::string body;
    while (const std::optional<std::string> part = co_await session.next()) {
        body += *part;
    }
    recordSpan(admitted, "plain call", session.error());
    if (session.error() != ErrorKind::None) {
        co_await refuse(exchange, session.error(), session.notRun(), admitted.id);
        co_return;
    }
    countAnswer(ErrorKind::None);
    HeaderFields fields = {{"x-request-id", admitted.id.value()}};
    co_await exchange.respond(session.upstreamStatus(), session.contentType(), std::move(body), std::move(fields));
}

Asio::awaitable<void> CallerHandler::handleOrder(HttpExchange &exchange, const AdmittedRequest &admitted, const RouteSpec &route)
{
    const std::string key(exchange.header("idempotency-key"));
    if (key.empty()) {
        co_await refuse(exchange, ErrorKind::MissingIdempotencyKey, true, admitted.id);
        co_return;
    }
    if (key.size() > maxIdempotencyKeyLength) {
        co_await refuse(exchange, ErrorKind::MalformedRequest, true, admitted.id, "the Idempotency-Key has more than 256 characters");
        co_return;
    }
    RequestProfile profile;
    profile.service = route.service;
    profile.idempotent = false;
    // The order goes to the ledger even without a usable upstream: a repeated order may have run, and only the ledger knows.
    const std::optional<UpstreamChoice> choice = m_worker.router().choose(profile, {});
    OrderSubmission order;
    order.caller = RequestId(toString(m_worker.newAttempt()));
    order.key = qualifiedOrderKey(admitted.organisation.id, key);
    order.organisation = admitted.organisation.id;
    order.route = route;
    order.upstream = choice ? choice->upstream : UpstreamId();
    order.method = std::string(exchange.request().method_string());
    order.target = std::string(exchange.request().target());
    order.body = std::move(exchange.request().body());
    order.headers = {{"content-type", std::string(exchange.header("content-type"))}, {"idempotency-key", order.key.value()}};
    order.traceParent = toHeader(admitted.trace);
    order.deadline = std::chrono::steady_clock::now() + deadlineOf(exchange, route.deadline);
    const TrafficWorker::SessionGuard guard(m_worker, order.deadline);
    const auto answer = std::make_shared<std::optional<OrderAnswer>>();
    const auto timer = std::make_shared<Asio::steady_timer>(m_worker.context(), TimePoint::max());
    m_worker.control().submitOrder(std::move(order), [&worker = m_worker, answer, timer](OrderAnswer received) {
        Asio::post(worker.context(), [answer, timer, received = std::move(received)] {
            *answer = received;
            timer->cancel();
        });
    });
    while (!*answer) {
        co_await timer->async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    recordSpan(admitted, "order", (*answer)->error);
    if ((*answer)->error != ErrorKind::None) {
        co_await refuse(exchange, (*answer)->error, (*answer)->notRun, admitted.id);
        co_return;
    }
    countAnswer(ErrorKind::None);
    const auto status = static_cast<unsigned>((*answer)->httpStatus);
    HeaderFields fields = {{"x-request-id", admitted.id.value()}};
    co_await exchange.respond(status, (*answer)->contentType, (*answer)->body, std::move(fields));
}

Asio::awaitable<void> CallerHandler::handleStatus(HttpExchange &exchange)
{
    const std::string_view path = pathOf(exchange);
    const ControlSnapshot &snapshot = m_worker.snapshot();
    if (path == "/metrics") {
        co_await exchange.respond(statusOk, "text/plain; version=0.0.4", m_worker.host().metrics.text());
    } else if (path == "/healthz") {
        co_await exchange.respond(statusOk, "text/plain", "alive\n");
    } else {
        const bool ready = snapshot.routing && snapshot.ready;
        co_await exchange.respond(ready ? statusOk : statusUnavailable, "text/plain", ready ? "ready\n" : "not ready\n");
    }
}

Asio::awaitable<void> CallerHandler::refuse(HttpExchange &exchange, ErrorKind kind, bool notRun, const RequestId &id, std::string message)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    countAnswer(kind);
    HeaderFields fields = {{"x-request-id", id.value()}};
    if (answer.callerMayRetry) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter);
        fields.emplace_back("retry-after", std::to_string(seconds.count()));
    }
    co_await exchange.respond(
        static_cast<unsigned>(answer.httpStatus), std::string(jsonType), errorBody(kind, notRun, id, std::move(message)), std::move(fields));
}

Asio::awaitable<void> CallerHandler::abortStream(HttpExchange &exchange, ErrorKind kind, const RequestId &id)
{
    countAnswer(kind);
    exchange.disableKeepAlive();
    if (kind != ErrorKind::Cancelled && co_await exchange.writeChunk(formatSseEvent("", errorBody(kind, false, id, {})))) {
        co_await exchange.finishStream();
    }
}

void CallerHandler::recordSpan(const AdmittedRequest &admitted, const std::string &name, ErrorKind kind)
{
    Span span;
    span.name = name;
    span.context = admitted.trace;
    span.parentSpanId = admitted.parentSpanId;
    span.start = admitted.start;
    span.end = std::chrono::system_clock::now();
    span.attributes = {{"request.id", admitted.id.value()}, {"organisation", admitted.organisation.id.value()}};
    span.attributes.emplace_back("result", std::string(errorAnswer(kind).name));
    span.failed = kind != ErrorKind::None;
    m_worker.host().spans.record(std::move(span));
}

void CallerHandler::countAnswer(ErrorKind kind)
{
    m_worker.host().metrics.answers(std::string(errorAnswer(kind).name)).Increment();
}

}
