#include "Daemon/UpstreamMonitor.h"

#include "Http/UpstreamCall.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr std::chrono::milliseconds pollInterval{500};
constexpr std::chrono::milliseconds pollTimeout{1000};
constexpr std::size_t maxReportBytes = 64UL * 1024;
constexpr unsigned statusOk = 200;

std::optional<DispatcherEvent::LoadReported> parseReport(const std::string &body)
{
    const nlohmann::json report = nlohmann::json::parse(body, nullptr, false);
    if (!report.is_object() || !report.contains("epoch")) {
        return std::nullopt;
    }
    DispatcherEvent::LoadReported event;
    event.epoch = report.value("epoch", std::uint64_t{0});
    event.uptime = std::chrono::milliseconds(report.value("uptime_ms", std::int64_t{0}));
    event.inFlightRequests = report.value("in_flight", 0U) + report.value("queued", 0U);
    event.usedKvTokens = report.value("used_kv_tokens", std::uint64_t{0});
    event.lag = std::chrono::milliseconds(report.value("lag_ms", std::int64_t{1000}));
    return event.epoch == 0 ? std::nullopt : std::optional(event);
}

}

UpstreamMonitor::UpstreamMonitor(Asio::io_context &context, std::string address, std::uint16_t port, Handler handler)
    : m_context(context)
    , m_address(std::move(address))
    , m_port(port)
    , m_handler(std::move(handler))
    , m_timer(context)
{
}

void UpstreamMonitor::start()
{
    Asio::co_spawn(
        m_context,
        [self = shared_from_this()]() {
            return self->pollRepeatedly();
        },
        Asio::detached);
}

void UpstreamMonitor::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void UpstreamMonitor::probe(std::function<void(bool)> answered)
{
    Asio::co_spawn(
        m_context,
        [self = shared_from_this()]() {
            return self->poll();
        },
        [answered = std::move(answered)](const std::exception_ptr &exception, const std::optional<DispatcherEvent::LoadReported> &report) {
            answered(!exception && report.has_value());
        });
}

Asio::awaitable<void> UpstreamMonitor::pollRepeatedly()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        const std::optional<DispatcherEvent::LoadReported> report = co_await poll();
        if (m_stopped) {
            break;
        }
        m_handler(report);
        m_timer.expires_after(pollInterval);
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<std::optional<DispatcherEvent::LoadReported>> UpstreamMonitor::poll()
{
    const auto self = shared_from_this();
    constexpr unsigned httpVersion = 11;
    const auto pool = std::make_shared<UpstreamConnectionPool>(m_context, m_address, m_port);
    UpstreamCall call(pool, std::chrono::steady_clock::now() + pollTimeout);
    UpstreamCall::Request request(BeastHttp::verb::get, "/load", httpVersion);
    request.keep_alive(false);
    std::string body;
    if (co_await call.start(std::move(request)) || call.status() != statusOk || co_await call.readAll(body, maxReportBytes)) {
        co_return std::nullopt;
    }
    co_return parseReport(body);
}

}
