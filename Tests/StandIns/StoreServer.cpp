#include "StandIns/StoreServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>
#include <utility>

namespace Mangofall::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds defaultWatchWait{20'000};
constexpr milliseconds leaseCheckInterval{20};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> headerNumber(const HttpRequest &request, std::string_view name)
{
    const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
    if (found == request.end()) {
        return std::nullopt;
    }
    return parseNumber(std::string_view(found->value().data(), found->value().size()));
}

std::optional<std::uint64_t> queryNumber(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        if (item.starts_with(name) && item.substr(name.size()).starts_with('=')) {
            return parseNumber(item.substr(name.size() + 1));
        }
    }
    return std::nullopt;
}

HttpResponse errorResponse(http::status status, std::string_view reason)
{
    return jsonResponse(status, json{{"error", reason}}.dump());
}

HttpResponse valueResponse(const StoreState::Value &value)
{
    HttpResponse response(http::status::ok, 11);
    response.set("x-version", std::to_string(value.version));
    response.body() = value.bytes;
    return response;
}

http::status httpStatus(StorePutStatus status)
{
    switch (status) {
    case StorePutStatus::Applied:
        return http::status::ok;
    case StorePutStatus::Conflict:
        return http::status::conflict;
    case StorePutStatus::TooLarge:
        return http::status::payload_too_large;
    case StorePutStatus::NoLease:
        return http::status::precondition_failed;
    }
    return http::status::internal_server_error;
}

bool removePrefix(std::string_view &target, std::string_view prefix)
{
    if (!target.starts_with(prefix) || target.size() == prefix.size()) {
        return false;
    }
    target.remove_prefix(prefix.size());
    return true;
}

std::optional<StoreCallKind> callKind(http::verb method, std::string_view &target)
{
    if (method == http::verb::get && removePrefix(target, "/kv/")) {
        return StoreCallKind::Get;
    }
    if (method == http::verb::put && removePrefix(target, "/kv/")) {
        return StoreCallKind::Put;
    }
    if (method == http::verb::get && removePrefix(target, "/watch/")) {
        return StoreCallKind::Watch;
    }
    if (method == http::verb::put && removePrefix(target, "/leases/")) {
        return StoreCallKind::LeaseRenew;
    }
    if (method == http::verb::post && target == "/leases") {
        return StoreCallKind::LeaseCreate;
    }
    return std::nullopt;
}

}

StoreServer::StoreServer(asio::io_context &context, std::uint16_t port)
    : m_context(context)
    , m_server(context, port, [this](const HttpRequest &request) {
        return handle(request);
    })
{
}

std::uint16_t StoreServer::port() const
{
    return m_server.port();
}

void StoreServer::start()
{
    m_server.start();
    asio::co_spawn(m_context, expireLeases(), asio::detached);
}

asio::awaitable<std::optional<HttpResponse>> StoreServer::handle(const HttpRequest &request)
{
    std::string_view target(request.target().data(), request.target().size());
    if (target == "/control") {
        co_return control(request);
    }
    const std::optional<StoreCallKind> kind = callKind(request.method(), target);
    if (!kind.has_value()) {
        co_return errorResponse(http::status::not_found, "unknown path or method");
    }
    co_return co_await handleCall(request, *kind, std::string(target));
}

asio::awaitable<std::optional<HttpResponse>> StoreServer::handleCall(const HttpRequest &request, StoreCallKind kind, std::string resource)
{
    const bool admitted = m_state.admitCall(kind, now());
    if (m_faults.outage) {
        co_return std::nullopt;
    }
    if (!admitted) {
        co_return errorResponse(http::status::too_many_requests, "call rate exceeded");
    }
    if (m_faults.delay.count() > 0) {
        asio::steady_timer timer(m_context, m_faults.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (kind == StoreCallKind::Get) {
        co_return get(resource);
    }
    if (kind == StoreCallKind::Watch) {
        co_return co_await watch(std::move(resource));
    }
    std::optional<HttpResponse> response = kind == StoreCallKind::Put ? put(request, resource)
        : kind == StoreCallKind::LeaseCreate                          ? createLease(request)
                                                                      : renewLease(resource);
    if (m_faults.loseWriteAnswers > 0) {
        --m_faults.loseWriteAnswers;
        co_return std::nullopt;
    }
    co_return response;
}

asio::awaitable<std::optional<HttpResponse>> StoreServer::watch(std::string keyAndQuery)
{
    const std::size_t queryStart = keyAndQuery.find('?');
    const std::string key = keyAndQuery.substr(0, queryStart);
    const std::string_view parameters = queryStart == std::string::npos ? std::string_view() : std::string_view(keyAndQuery).substr(queryStart + 1);
    const std::uint64_t after = queryNumber(parameters, "after").value_or(0);
    const milliseconds wait(queryNumber(parameters, "wait_ms").value_or(static_cast<std::uint64_t>(defaultWatchWait.count())));
    const TimePoint deadline = now() + wait;
    while (!m_faults.outage) {
        const StoreState::Value *value = m_state.find(key);
        if (value != nullptr && value->version > after) {
            co_return valueResponse(*value);
        }
        if (value == nullptr && after > 0) {
            co_return errorResponse(http::status::not_found, "the key was removed");
        }
        if (now() >= deadline) {
            co_return HttpResponse(http::status::no_content, 11);
        }
        asio::steady_timer timer(m_context, deadline);
        m_waitingWatches.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waitingWatches.erase(&timer);
    }
    co_return std::nullopt;
}

HttpResponse StoreServer::get(const std::string &key) const
{
    const StoreState::Value *value = m_state.find(key);
    return value == nullptr ? errorResponse(http::status::not_found, "no such key") : valueResponse(*value);
}

HttpResponse StoreServer::put(const HttpRequest &request, const std::string &key)
{
    const std::optional<std::uint64_t> expected = headerNumber(request, "x-expected-version");
    if (!expected.has_value()) {
        return errorResponse(http::status::bad_request, "x-expected-version is missing or not a number");
    }
    const StoreState::PutResult result = m_state.put(key, request.body(), *expected, headerNumber(request, "x-lease").value_or(0));
    if (result.status == StorePutStatus::Applied) {
        wakeWatches();
    }
    HttpResponse response = jsonResponse(httpStatus(result.status), "{}");
    response.set("x-version", std::to_string(result.version));
    return response;
}

HttpResponse StoreServer::createLease(const HttpRequest &request)
{
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("ttl_ms") || !body["ttl_ms"].is_number_unsigned()) {
        return errorResponse(http::status::bad_request, "the body must be {\"ttl_ms\": number}");
    }
    const std::uint64_t id = m_state.createLease(milliseconds(body["ttl_ms"].get<std::uint64_t>()), now());
    return jsonResponse(http::status::ok, json{{"id", std::to_string(id)}}.dump());
}

HttpResponse StoreServer::renewLease(const std::string &id)
{
    const std::optional<std::uint64_t> number = parseNumber(id);
    if (!number.has_value() || !m_state.renewLease(*number, now())) {
        return errorResponse(http::status::not_found, "no such lease");
    }
    return jsonResponse(http::status::ok, "{}");
}

HttpResponse StoreServer::control(const HttpRequest &request)
{
    if (request.method() == http::verb::get) {
        return jsonResponse(http::status::ok, report());
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (request.method() != http::verb::post || !body.is_object()) {
        return errorResponse(http::status::bad_request, "POST a JSON object");
    }
    for (const auto &[name, value] : body.items()) {
        if (name == "outage" && value.is_boolean()) {
            m_faults.outage = value.get<bool>();
        } else if (name == "delay_ms" && value.is_number_unsigned()) {
            m_faults.delay = milliseconds(value.get<std::uint64_t>());
        } else if (name == "lose_write_answers" && value.is_number_unsigned()) {
            m_faults.loseWriteAnswers = value.get<std::uint64_t>();
        } else if (name == "calls_per_second" && value.is_number()) {
            m_state.setCallsPerSecond(value.get<double>());
        } else if (name == "reset_lease" && value.is_string() && parseNumber(value.get<std::string>()).has_value()) {
            m_state.endLease(*parseNumber(value.get<std::string>()));
        } else {
            return errorResponse(http::status::bad_request, "unknown fault or wrong type: " + name);
        }
    }
    wakeWatches();
    return jsonResponse(http::status::ok, report());
}

std::string StoreServer::report() const
{
    const json calls = {
        {"get", m_state.calls(StoreCallKind::Get)},
        {"put", m_state.calls(StoreCallKind::Put)},
        {"watch", m_state.calls(StoreCallKind::Watch)},
        {"lease_create", m_state.calls(StoreCallKind::LeaseCreate)},
        {"lease_renew", m_state.calls(StoreCallKind::LeaseRenew)},
    };
    const json faults = {
        {"outage", m_faults.outage},
        {"delay_ms", m_faults.delay.count()},
        {"lose_write_answers", m_faults.loseWriteAnswers},
    };
    return json{
        {"calls", calls},
        {"calls_over_rate", m_state.callsOverRate()},
        {"conflicts", m_state.conflicts()},
        {"waiting_watches", m_waitingWatches.size()},
        {"faults", faults},
    }
        .dump();
}

asio::awaitable<void> StoreServer::expireLeases()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(leaseCheckInterval);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (m_state.expireLeases(now())) {
            wakeWatches();
        }
    }
}

void StoreServer::wakeWatches()
{
    for (asio::steady_timer *timer : m_waitingWatches) {
        timer->cancel();
    }
}

}
