#include "StandIns/OrderServer.h"

namespace Mangofall::StandIns {

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace {

constexpr std::string_view ordersPath = "/orders/";
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;

}

OrderServer::OrderServer(boost::asio::io_context &context, std::uint16_t port, std::chrono::milliseconds restartDuration)
    : UpstreamServer(context, port)
    , m_restartDuration(restartDuration)
    , m_availableFrom(std::chrono::steady_clock::now())
{
}

awaitable<void> OrderServer::handle(Connection &connection, HttpRequest &request)
{
    const std::string target(request.target());
    if (target == "/control") {
        return handleControl(connection, request);
    } else if (request.method() == http::verb::post) {
        return handleOrder(connection, request);
    } else if (target.starts_with(ordersPath)) {
        return handleStatus(connection, request, target.substr(ordersPath.size()));
    } else if (target == "/load") {
        return respondJson(connection, request, ok, {{"epoch", m_epoch}, {"in_flight", m_pendingAttempts.size()}});
    } else {
        return respondJson(connection, request, ok, {{"path", target}});
    }
}

bool OrderServer::serving() const
{
    return std::chrono::steady_clock::now() >= m_availableFrom;
}

awaitable<void> OrderServer::handleOrder(Connection &connection, const HttpRequest &request)
{
    const std::string key = headerOf(request, "idempotency-key");
    const Attempt attempt(key, headerOf(request, "x-attempt-id"));
    if (key.empty()) {
        return respondJson(connection, request, badRequest, {{"error", "the idempotency-key header is missing"}}, {{"x-not-run", "1"}});
    }
    if (m_ordersToRefuse > 0) {
        --m_ordersToRefuse;
        ++m_refusedOrders;
        return respondJson(connection, request, unavailable, {{"error", "refused before work"}}, {{"x-not-run", "1"}});
    }
    return delayOrder(connection, request, attempt);
}

awaitable<void> OrderServer::delayOrder(Connection &connection, const HttpRequest &request, Attempt attempt)
{
    const std::uint64_t epoch = m_epoch;
    if (m_orderDelay.count() > 0) {
        const auto pending = m_pendingAttempts.insert(attempt);
        co_await sleepFor(m_orderDelay);
        // A simulated crash discards the orders that have not run yet.
        if (m_epoch != epoch) {
            co_return;
        }
        m_pendingAttempts.erase(pending);
    }
    co_await runOrder(connection, request, attempt);
}

awaitable<void> OrderServer::runOrder(Connection &connection, const HttpRequest &request, const Attempt &attempt)
{
    if (isBlocked(attempt)) {
        ++m_refusedOrders;
        return respondJson(connection, request, conflict, {{"error", "the status call barred this attempt"}}, {{"x-not-run", "1"}});
    }
    const std::uint64_t runs = ++m_runsByKey[attempt.first];
    if (m_answersToLose > 0) {
        --m_answersToLose;
        ++m_lostAnswers;
        throw boost::system::system_error(boost::asio::error::connection_aborted);
    }
    return respondJson(connection, request, ok, {{"order", attempt.first}, {"runs", runs}}, {{"x-attempt-id", attempt.second}});
}

awaitable<void> OrderServer::handleStatus(Connection &connection, const HttpRequest &request, const std::string &key)
{
    const auto found = m_runsByKey.find(key);
    if (found != m_runsByKey.end()) {
        return respondJson(connection, request, ok, {{"order", key}, {"runs", found->second}});
    }
    const Attempt attempt(key, headerOf(request, "x-attempt-id"));
    for (const Attempt &pending : m_pendingAttempts) {
        if (pending.first == key && (attempt.second.empty() || pending == attempt)) {
            return respondJson(connection, request, notFound, {{"order", key}, {"state", "pending"}});
        }
    }
    m_blockedAttempts.insert(attempt);
    return respondJson(connection, request, notFound, {{"order", key}, {"state", "never ran"}}, {{"x-cannot-run", "1"}});
}

awaitable<void> OrderServer::handleControl(Connection &connection, const HttpRequest &request)
{
    if (request.method() == http::verb::post) {
        const nlohmann::json faults = nlohmann::json::parse(request.body(), nullptr, false);
        if (!faults.is_object()) {
            return respondJson(connection, request, badRequest, {{"error", "the body must be a JSON object"}});
        }
        injectFaults(faults);
    }
    const nlohmann::json report = {{"runs", m_runsByKey},
                                   {"refused", m_refusedOrders},
                                   {"lost_answers", m_lostAnswers},
                                   {"epoch", m_epoch},
                                   {"stalled_connections", stalledConnections()}};
    return respondJson(connection, request, ok, report);
}

void OrderServer::injectFaults(const nlohmann::json &faults)
{
    m_orderDelay = std::chrono::milliseconds(faults.value("delay_ms", std::int64_t{m_orderDelay.count()}));
    m_answersToLose = faults.value("lose_answers", m_answersToLose);
    m_ordersToRefuse = faults.value("refuse", m_ordersToRefuse);
    if (faults.value("stall", false)) {
        stallConnections();
    }
    if (faults.value("crash", false)) {
        ++m_epoch;
        m_pendingAttempts.clear();
        m_availableFrom = std::chrono::steady_clock::now() + m_restartDuration;
        dropConnections();
    }
}

bool OrderServer::isBlocked(const Attempt &attempt) const
{
    return m_blockedAttempts.contains(attempt) || m_blockedAttempts.contains(Attempt(attempt.first, ""));
}

}
