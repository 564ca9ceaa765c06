#include "Daemon/OperatorHandler.h"

#include "Config/FleetJson.h"
#include "Daemon/ControlPlane.h"
#include "Http/HttpExchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <openssl/crypto.h>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorised = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr std::string_view bearerPrefix = "Bearer ";
const std::string jsonType = "application/json";

std::string errorJson(const std::string &message)
{
    nlohmann::json json;
    json["error"] = message;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

OperatorHandler::OperatorHandler(ControlPlane &control, std::string key)
    : m_control(control)
    , m_key(std::move(key))
{
}

Asio::awaitable<void> OperatorHandler::handle(HttpExchange &exchange)
{
    if (!isAuthorised(exchange)) {
        co_await exchange.respond(statusUnauthorised, jsonType, errorJson("the operators' key is missing or wrong"));
        co_return;
    }
    const std::string target(exchange.request().target());
    const std::string path = target.substr(0, target.find('?'));
    const bool post = exchange.request().method() == BeastHttp::verb::post;
    if (path == "/operator/status") {
        co_await exchange.respond(statusOk, jsonType, m_control.statusJson().dump());
    } else if (path == "/operator/configuration") {
        co_await exchange.respond(statusOk, jsonType, m_control.configurationJson().dump());
    } else if (path == "/operator/history") {
        co_await exchange.respond(statusOk, jsonType, m_control.historyJson().dump());
    } else if (path == "/operator/limits") {
        co_await exchange.respond(statusOk, jsonType, m_control.limitsJson().dump());
    } else if (path == "/operator/orders") {
        co_await exchange.respond(statusOk, jsonType, m_control.ordersJson().dump());
    } else if (path == "/operator/changes" && post) {
        co_await handleChange(exchange);
    } else if (path == "/operator/orders/settle" && post) {
        co_await handleResolve(exchange);
    } else {
        co_await exchange.respond(statusNotFound, jsonType, errorJson("unknown path " + path));
    }
}

Asio::awaitable<void> OperatorHandler::handleUnreadable(HttpExchange &exchange, unsigned status)
{
    co_await exchange.respond(status, jsonType, errorJson("the request could not be read"));
}

Asio::awaitable<void> OperatorHandler::handleChange(HttpExchange &exchange)
{
    ConfigurationProblems problems;
    std::optional<ConfigurationChange> change = decodeChange(exchange.request().body(), problems);
    if (!change) {
        co_await exchange.respond(statusBadRequest, jsonType, errorJson(describe(problems)));
        co_return;
    }
    const auto answer = std::make_shared<std::optional<ChangeAnswer>>();
    const auto timer = std::make_shared<Asio::steady_timer>(m_control.context(), TimePoint::max());
    m_control.submitChange(std::move(*change), [answer, timer](const ChangeAnswer &received) {
        *answer = received;
        timer->cancel();
    });
    while (!*answer) {
        co_await timer->async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    co_await exchange.respond(statusOk, jsonType, encodeChangeAnswer(**answer).dump());
}

Asio::awaitable<void> OperatorHandler::handleResolve(HttpExchange &exchange)
{
    const nlohmann::json body = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body["key"].is_string() || !body.contains("ran") || !body["ran"].is_boolean()) {
        co_await exchange.respond(statusBadRequest, jsonType, errorJson("the body must be {\"key\": string, \"ran\": true or false}"));
        co_return;
    }
    const bool owned = m_control.resolveOrder(OrderKey(body["key"].get<std::string>()), body["ran"].get<bool>());
    if (owned) {
        co_await exchange.respond(statusOk, jsonType, "{}");
    } else {
        co_await exchange.respond(statusConflict, jsonType, errorJson("this host does not own the order's ledger shard"));
    }
}

bool OperatorHandler::isAuthorised(const HttpExchange &exchange) const
{
    const std::string_view header = exchange.header("authorization");
    if (!header.starts_with(bearerPrefix)) {
        return false;
    }
    const std::string_view token = header.substr(bearerPrefix.size());
    return !m_key.empty() && token.size() == m_key.size() && CRYPTO_memcmp(token.data(), m_key.data(), m_key.size()) == 0;
}

}
