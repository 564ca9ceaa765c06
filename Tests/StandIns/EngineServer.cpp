#include "StandIns/EngineServer.h"

#include "Base/Hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Mangofall::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;

namespace {

constexpr std::string_view attemptsPath = "/v1/attempts/";
constexpr std::string_view kvPath = "/kv/";
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;
constexpr int insufficientStorage = 507;

std::string hex(std::uint64_t value)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return {text.data(), digits};
}

bool ended(const EngineAttempt &attempt)
{
    return attempt.state == AttemptState::Finished || attempt.state == AttemptState::Cancelled || attempt.state == AttemptState::Lost;
}

std::string event(const nlohmann::json &body)
{
    return "data: " + body.dump() + "\n\n";
}

nlohmann::json usage(const EngineAttempt &attempt)
{
    return {{"prompt_tokens", attempt.request.promptTokens},
            {"completion_tokens", attempt.produced},
            {"total_tokens", attempt.request.promptTokens + attempt.produced},
            {"cached_tokens", attempt.cachedTokens}};
}

std::string tokenEvent(const EngineAttempt &attempt, std::uint32_t index)
{
    const nlohmann::json choice = {{"index", 0}, {"text", tokenText(attempt.promptHash, index)}};
    return event({{"choices", nlohmann::json::array({choice})}, {"index", index}});
}

std::string lastEvent(const EngineAttempt &attempt)
{
    return event({{"choices", nlohmann::json::array()}, {"index", attempt.produced}, {"usage", usage(attempt)}}) + "data: [DONE]\n\n";
}

nlohmann::json wholeAnswer(const EngineAttempt &attempt)
{
    std::string text;
    for (std::uint32_t index = attempt.request.firstToken; index < attempt.produced; ++index) {
        text += tokenText(attempt.promptHash, index);
    }
    const nlohmann::json choice = {{"index", 0}, {"text", text}, {"finish_reason", "length"}};
    return {{"choices", nlohmann::json::array({choice})}, {"usage", usage(attempt)}};
}

std::string answerPrefix(std::uint64_t promptHash, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        text += tokenText(promptHash, index);
    }
    return text;
}

}

EngineServer::EngineServer(asio::io_context &context, std::uint16_t port, const EngineOptions &options)
    : UpstreamServer(context, port)
    , m_options(options)
    , m_origin(std::chrono::steady_clock::now())
    , m_model(options, TimePoint{})
{
}

void EngineServer::advance()
{
    const std::uint64_t crashes = m_model.counts().crashes;
    m_model.advance(now());
    if (m_model.counts().crashes != crashes) {
        dropConnections();
    }
}

awaitable<void> EngineServer::handle(Connection &connection, HttpRequest &request)
{
    const std::string target(request.target());
    if (target == "/control") {
        co_await handleControl(connection, request);
        co_return;
    }
    if (m_responseDelay.count() > 0) {
        co_await sleepFor(m_responseDelay);
    }
    co_await route(connection, request, target);
}

awaitable<void> EngineServer::route(Connection &connection, HttpRequest &request, const std::string &target)
{
    if (target == "/v1/completions" && request.method() == http::verb::post) {
        return handleCompletion(connection, request);
    } else if (target.starts_with(attemptsPath) && request.method() == http::verb::delete_) {
        const bool known = m_model.cancel(target.substr(attemptsPath.size()), now());
        return respondJson(connection, request, known ? ok : notFound, {{"cancelled", known}});
    } else if (target == "/load") {
        return respondJson(connection, request, ok, load());
    } else if (target.starts_with("/cache-events")) {
        return respondJson(connection, request, ok, cacheEvents(numberInQuery(target, "after", 0)));
    } else if (target == "/kv" || target.starts_with(kvPath)) {
        return handleKv(connection, request);
    } else if (target == "/commands") {
        return handleCommand(connection, request);
    } else {
        return respondJson(connection, request, notFound, {{"error", "unknown path " + target}});
    }
}

bool EngineServer::serving() const
{
    return !m_model.restarting(now());
}

TimePoint EngineServer::now() const
{
    const Seconds real = std::chrono::steady_clock::now() - m_origin;
    return TimePoint{} + toDuration(real * m_options.timeScale);
}

void EngineServer::crash()
{
    m_model.crash(now());
    dropConnections();
}

awaitable<void> EngineServer::handleCompletion(Connection &connection, HttpRequest &request)
{
    EngineRequest completion;
    std::string error;
    if (!parseCompletion(request, completion, error)) {
        return respondJson(connection, request, badRequest, {{"error", error}}, {{"x-not-run", "1"}});
    }
    if (completion.attempt.empty()) {
        completion.attempt = "unnamed-" + std::to_string(++m_unnamedAttempts);
    }
    const std::string name = completion.attempt;
    const bool resumes = !headerOf(request, "x-resume-from").empty();
    AttemptPointer attempt = resumes ? m_model.resume(name, completion.firstToken) : nullptr;
    if (!attempt) {
        const nlohmann::json body = nlohmann::json::parse(request.body());
        const bool continues = m_options.acceptsContinuation && body.contains("continuation");
        if (resumes && !continues) {
            return respondJson(connection, request, conflict, {{"error", "attempt " + name + " is not held"}}, {{"x-attempt-id", name}});
        }
        const std::uint64_t crashes = m_model.counts().crashes;
        const Admission admission = m_model.submit(std::move(completion), now(), attempt);
        if (m_model.counts().crashes != crashes) {
            dropConnections();
        }
        if (admission != Admission::Accepted) {
            return refuse(connection, request, admission, name);
        }
    }
    const nlohmann::json body = nlohmann::json::parse(request.body());
    request.body().clear();
    if (body.value("stream", false)) {
        return sendStream(connection, request, attempt);
    } else {
        return sendWholeAnswer(connection, request, attempt);
    }
}

bool EngineServer::parseCompletion(const HttpRequest &request, EngineRequest &completion, std::string &error) const
{
    const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string()) {
        error = "the body must be a JSON object with a string \"prompt\"";
        return false;
    }
    completion.attempt = headerOf(request, "x-attempt-id");
    completion.prompt = body["prompt"].get<std::string>();
    completion.maxTokens = body.value("max_tokens", 16U);
    completion.remoteTokens = body.value("remote_tokens", std::uint64_t{0});
    completion.priority = static_cast<int>(numberHeader(request, "x-priority", 0));
    completion.firstToken = static_cast<std::uint32_t>(numberHeader(request, "x-resume-from", 0));
    const bool checked = body.contains("continuation") && completion.firstToken <= completion.maxTokens;
    if (checked && body["continuation"] != answerPrefix(hash64(completion.prompt), completion.firstToken)) {
        error = "the continuation is not the text of the first " + std::to_string(completion.firstToken) + " tokens";
        return false;
    }
    return true;
}

awaitable<void> EngineServer::refuse(Connection &connection, HttpRequest &request, Admission admission, const std::string &attempt)
{
    switch (admission) {
    case Admission::NeverFits:
        return respondJson(connection, request, unprocessable, {{"error", "prompt_never_fits"}}, {{"x-not-run", "1"}, {"x-attempt-id", attempt}});
    case Admission::Duplicate:
        return respondJson(connection, request, conflict, {{"error", "attempt " + attempt + " is already held"}}, {{"x-attempt-id", attempt}});
    case Admission::Refused:
        return respondJson(connection, request, unavailable, {{"error", "queue_full"}}, {{"x-not-run", "1"}, {"x-attempt-id", attempt}});
    case Admission::Crashed:
    case Admission::Accepted:
        break;
    }
    throw boost::system::system_error(asio::error::connection_aborted);
}

awaitable<void> EngineServer::sendStream(Connection &connection, const HttpRequest &request, AttemptPointer attempt)
{
    const std::uint64_t generation = attempt->connectionGeneration;
    http::response<http::empty_body> response(http::status::ok, request.version());
    response.set("Content-Type", "text/event-stream");
    response.set("x-attempt-id", attempt->request.attempt);
    response.keep_alive(request.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    try {
        co_await waitIfStalled(connection);
        co_await http::async_write_header(connection.socket, serializer, use_awaitable);
        co_await sendTokens(connection, attempt, generation);
    } catch (...) {
        m_model.detach(attempt, generation, now());
        throw;
    }
}

awaitable<void> EngineServer::sendTokens(Connection &connection, AttemptPointer attempt, std::uint64_t generation)
{
    for (;;) {
        co_await waitForProgress(attempt, generation);
        co_await waitIfStalled(connection);
        if (attempt->connectionGeneration != generation || attempt->state == AttemptState::Cancelled || attempt->state == AttemptState::Lost) {
            throw boost::system::system_error(asio::error::connection_aborted);
        }
        std::string events;
        const std::uint32_t upTo = attempt->produced;
        for (std::uint32_t index = attempt->sent; index < upTo; ++index) {
            events += tokenEvent(*attempt, index);
        }
        const bool last = attempt->state == AttemptState::Finished;
        if (last) {
            events += lastEvent(*attempt);
        }
        co_await asio::async_write(connection.socket, http::make_chunk(asio::buffer(events)), use_awaitable);
        if (attempt->connectionGeneration == generation) {
            attempt->sent = upTo;
        }
        if (last) {
            co_await asio::async_write(connection.socket, http::make_chunk_last(), use_awaitable);
            co_return;
        }
    }
}

awaitable<void> EngineServer::sendWholeAnswer(Connection &connection, const HttpRequest &request, AttemptPointer attempt)
{
    const std::uint64_t generation = attempt->connectionGeneration;
    while (!ended(*attempt) && attempt->connectionGeneration == generation) {
        co_await waitForProgress(attempt, generation);
        attempt->sent = attempt->produced;
    }
    if (attempt->state != AttemptState::Finished || attempt->connectionGeneration != generation) {
        throw boost::system::system_error(asio::error::connection_aborted);
    }
    const Headers headers(1, {"x-attempt-id", attempt->request.attempt});
    co_await respondJson(connection, request, ok, wholeAnswer(*attempt), headers);
}

awaitable<void> EngineServer::waitForProgress(AttemptPointer attempt, std::uint64_t generation)
{
    auto timer = std::make_shared<asio::steady_timer>(context());
    while (attempt->connectionGeneration == generation && !ended(*attempt) && attempt->sent == attempt->produced) {
        attempt->wake = [timer] {
            timer->cancel();
        };
        timer->expires_at(TimePoint::max());
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(use_awaitable, ignored));
    }
}

awaitable<void> EngineServer::handleControl(Connection &connection, HttpRequest &request)
{
    if (request.method() == http::verb::post) {
        const nlohmann::json faults = nlohmann::json::parse(request.body(), nullptr, false);
        if (!faults.is_object()) {
            return respondJson(connection, request, badRequest, {{"error", "the body must be a JSON object"}});
        }
        injectFaults(faults);
    }
    return respondJson(connection, request, ok, report());
}

void EngineServer::injectFaults(const Json &faults)
{
    if (faults.value("crash", false)) {
        crash();
    }
    if (faults.value("cold", false)) {
        m_model.makeCold();
    }
    if (faults.value("stall", false)) {
        stallConnections();
    }
    if (faults.contains("delay_ms")) {
        m_responseDelay = std::chrono::milliseconds(faults["delay_ms"].get<std::int64_t>());
    }
    if (faults.contains("gap")) {
        m_model.cache().loseNextEvents(faults["gap"].get<std::uint64_t>());
    }
}

EngineServer::Json EngineServer::report() const
{
    const EngineCounts &counts = m_model.counts();
    const EngineLoad load = m_model.load(now());
    Json byPrompt = Json::object();
    for (const auto &[hash, count] : counts.startedByPrompt) {
        byPrompt[hex(hash)] = count;
    }
    return {{"run", counts.started},
            {"finished", counts.finished},
            {"cancelled", counts.cancelled},
            {"refused", counts.refused},
            {"resumed", counts.resumed},
            {"crashes", counts.crashes},
            {"max_concurrent", counts.maxConcurrent},
            {"max_concurrent_cold", counts.maxConcurrentCold},
            {"max_cold_prefill_tokens", counts.maxColdPrefillTokens},
            {"run_by_prompt", byPrompt},
            {"held_kv_tokens", m_model.reservedTokens()},
            {"kv_blocks", m_model.heldBlocks().size()},
            {"in_flight", load.inFlight},
            {"queued", load.queued},
            {"cold", m_model.cold()},
            {"epoch", load.epoch},
            {"stalled_connections", stalledConnections()}};
}

EngineServer::Json EngineServer::load() const
{
    const EngineLoad load = m_model.laggingLoad(now());
    return {{"epoch", load.epoch},
            {"uptime_ms", std::chrono::duration_cast<std::chrono::milliseconds>(load.uptime).count()},
            {"in_flight", load.inFlight},
            {"queued", load.queued},
            {"used_kv_tokens", load.usedTokens},
            {"memory_tokens", m_options.memoryTokens},
            {"prefill_tokens", load.prefillTokens}};
}

EngineServer::Json EngineServer::cacheEvents(std::uint64_t after)
{
    Json events = Json::array();
    for (const CacheEvent &event : m_model.cache().eventsAfter(after, now())) {
        events.push_back({{"sequence", event.sequence}, {"kind", event.stored ? "stored" : "removed"}, {"block", hex(event.block)}});
    }
    return {{"epoch", m_model.load(now()).epoch}, {"block_tokens", blockTokens}, {"events", events}};
}

awaitable<void> EngineServer::handleKv(Connection &connection, HttpRequest &request)
{
    const std::string target(request.target());
    if (request.method() == http::verb::get) {
        Json blocks = Json::array();
        for (const auto &[id, tokens] : m_model.heldBlocks()) {
            blocks.push_back({{"id", id}, {"tokens", tokens}});
        }
        return respondJson(connection, request, ok, {{"blocks", blocks}});
    }
    if (request.method() == http::verb::delete_ && target.starts_with(kvPath)) {
        const bool known = m_model.deleteBlock(target.substr(kvPath.size()));
        return respondJson(connection, request, known ? ok : notFound, {{"deleted", known}});
    }
    const Json body = Json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string()) {
        return respondJson(connection, request, badRequest, {{"error", "the body must be a JSON object with a string \"id\""}});
    } else if (target == "/kv/import") {
        const bool fits = m_model.importBlock(body["id"].get<std::string>(), body.value("tokens", std::uint64_t{0}), now());
        return respondJson(connection, request, fits ? ok : insufficientStorage, {{"imported", fits}});
    } else if (target == "/kv/export") {
        return handleExport(connection, request, body);
    } else {
        return respondJson(connection, request, notFound, {{"error", "unknown path " + target}});
    }
}

awaitable<void> EngineServer::handleExport(Connection &connection, HttpRequest &request, Json body)
{
    EngineRequest exportRequest;
    exportRequest.exportBlockId = body["id"].get<std::string>();
    const std::string attemptName = "export-" + exportRequest.exportBlockId;
    exportRequest.attempt = attemptName;
    exportRequest.promptTokens = body.value("tokens", std::uint64_t{0});
    exportRequest.priority = static_cast<int>(numberHeader(request, "x-priority", 0));
    exportRequest.maxTokens = 0;
    AttemptPointer attempt;
    const std::uint64_t crashes = m_model.counts().crashes;
    const Admission admission = m_model.submit(std::move(exportRequest), now(), attempt);
    if (m_model.counts().crashes != crashes) {
        dropConnections();
    }
    if (admission != Admission::Accepted) {
        co_await refuse(connection, request, admission, attemptName);
        co_return;
    }
    while (!ended(*attempt)) {
        co_await waitForProgress(attempt, attempt->connectionGeneration);
    }
    const bool held = attempt->state == AttemptState::Finished;
    Json answer;
    answer["exported"] = held;
    answer["tokens"] = attempt->request.promptTokens;
    co_await respondJson(connection, request, held ? ok : unavailable, answer);
}

awaitable<void> EngineServer::handleCommand(Connection &connection, HttpRequest &request)
{
    if (request.method() == http::verb::get) {
        return respondJson(connection, request, ok, {{"state", m_model.commandState()}, {"fencing_token", m_model.fencingToken()}});
    }
    const Json body = Json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("command") || !body["command"].is_string()) {
        return respondJson(connection, request, badRequest, {{"error", "the body must be a JSON object with a string \"command\""}});
    }
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    const bool accepted = m_model.command(body["command"].get<std::string>(), body.value("argument", std::string()), token);
    return respondJson(connection, request, accepted ? ok : conflict, {{"accepted", accepted}, {"fencing_token", m_model.fencingToken()}});
}

}
