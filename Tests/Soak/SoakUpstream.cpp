#include "Soak/SoakUpstream.h"

#include "Base/ScopeGuard.h"
#include "HeaderNames.h"
#include "Http/BeastStrings.h"
#include "Soak/FaultProxy.h"
#include "Soak/RunLedger.h"
#include "Soak/SoakNames.h"
#include "Soak/SoakStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
namespace Header = Platform::Header;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::chrono::milliseconds firstEventTime{25};
constexpr std::chrono::milliseconds eventInterval{12};
constexpr std::chrono::milliseconds processingTime{40};
constexpr std::chrono::milliseconds unresponsiveTime{6000};
constexpr std::chrono::milliseconds drainTime{3500};
constexpr std::chrono::milliseconds harmfulCrashTime{1000};
// By how much a request may exceed its deadline before it is a violation.
constexpr std::chrono::milliseconds checkTolerance{500};
// The same for drainNoticeLimit. Hosts know of a change long before the limit; those that kept removed upstreams for 2.5 s were not found with 500 ms.
constexpr std::chrono::milliseconds drainTolerance{100};
constexpr unsigned statusOk = 200;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusError = 500;
constexpr unsigned statusUnavailable = 503;
// No status of HTTP, which hosts must not pass on.
constexpr unsigned statusInvalid = 0;
// Precedes each whole answer; hosts must wait for the final response.
constexpr const char *informational = "HTTP/1.1 103 Early Hints\r\n\r\n";
// No event of a stream.
constexpr const char *spoiledBytes = "\x01spoiled\n\n";
constexpr unsigned slots = 16;
// The rate may be exceeded by half and five requests, because requests arrive at other intervals than they are sent in.
constexpr unsigned mostColdArrivals = coldRequestsPerSecond * 3 / 2 + 5;

std::string field(const SoakUpstream::Request &request, std::string_view name)
{
    const auto value = request[toBeast(name)];
    return {value.data(), value.size()};
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

// The number of events of the answer, which is the number of answer tokens that the caller gave; 0 for an answer that is no event stream.
std::uint64_t eventCount(const SoakUpstream::Request &request)
{
    const std::string counts = field(request, Header::tokenCounts);
    const std::size_t comma = counts.find(',');
    return comma == std::string::npos ? 0 : number(counts.substr(comma + 1));
}

std::string responseHead(const SoakUpstream::Request &request, unsigned status, bool executed, bool leaving, unsigned running)
{
    std::array<char, 32> statusLine{};
    std::snprintf(statusLine.data(), statusLine.size(), "HTTP/1.1 %03u Soak\r\n", status);
    std::string text = statusLine.data();
    text += std::string(Header::attemptId) + ": " + field(request, Header::attemptId) + "\r\n";
    text += executed ? std::string(Header::signature) + ": soak\r\n" : std::string(Header::notExecuted) + ": 1\r\n";
    text += std::string(Header::instanceLoad) + ": " + std::to_string(running) + ",0," + std::to_string(slots) + "\r\n";
    text += leaving ? std::string(Header::serverLeaving) + ": 1\r\n" : std::string();
    return text;
}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

}

std::string completeBody(const std::string &attempt)
{
    return "{\"attempt\":\"" + attempt + "\"}";
}

std::string eventData(const std::string &attempt, std::uint64_t number)
{
    return attempt + "/" + std::to_string(number);
}

SoakUpstream::SoakUpstream(Asio::io_context &io, std::string name, std::string service, std::string dataCentre, SoakStore &store, RunLedger &ledger)
    : m_io(io)
    , m_name(std::move(name))
    , m_service(std::move(service))
    , m_dataCentre(std::move(dataCentre))
    , m_store(store)
    , m_ledger(ledger)
    , m_id(m_name + "-0")
    , m_server(io,
               [this](std::shared_ptr<Socket> socket) {
                   return serve(std::move(socket));
               })
    , m_proxy(std::make_unique<FaultProxy>(io, [this]() {
        return NetworkAddress{"127.0.0.1", m_server.port()};
    }))
{
    publish(false);
}

SoakUpstream::~SoakUpstream() = default;

void SoakUpstream::setCrashHandler(std::function<void()> onCrash)
{
    m_onCrash = std::move(onCrash);
}

void SoakUpstream::setFault(UpstreamFault fault)
{
    m_fault = fault;
}

void SoakUpstream::setLinkFault(bool silent)
{
    m_proxy->setFault(silent ? LinkFault::Silent : LinkFault::None);
}

void SoakUpstream::crash(std::chrono::milliseconds downTime)
{
    if (!m_alive) {
        return;
    }
    m_alive = false;
    m_server.setRefusing(true);
    m_server.resetConnections();
    scheduleRestart(downTime);
}

void SoakUpstream::drain()
{
    if (!m_alive || m_leaving) {
        return;
    }
    publish(true);
    leave();
}

void SoakUpstream::leaveWithoutNotice()
{
    if (!m_alive || m_leaving) {
        return;
    }
    m_announces = false;
    m_store.remove("servers/" + m_id);
    leave();
}

void SoakUpstream::leave()
{
    m_leaving = true;
    m_leavingSince = Clock::now();
    auto timer = std::make_shared<Asio::steady_timer>(m_io, drainTime);
    timer->async_wait([this, timer](const boost::system::error_code &) {
        if (m_leaving) {
            crash(std::chrono::milliseconds(500));
        }
    });
}

void SoakUpstream::relist()
{
    if (m_alive && m_announces) {
        publish(m_leaving);
    }
}

const std::string &SoakUpstream::id() const
{
    return m_id;
}

bool SoakUpstream::isHealthy() const
{
    return m_alive && !m_leaving && m_fault == UpstreamFault::None && m_proxy->fault() == LinkFault::None;
}

Asio::awaitable<void> SoakUpstream::serve(std::shared_ptr<Socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        Request request;
        const auto [error, read] = co_await Http::async_read(*socket, buffer, request, awaitTuple);
        if (error) {
            break;
        }
        const bool keepOpen = co_await answer(socket, request);
        if (!keepOpen) {
            break;
        }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
}

Asio::awaitable<bool> SoakUpstream::answer(std::shared_ptr<Socket> socket, const Request &request)
{
    const std::string attempt = field(request, Header::attemptId);
    if (field(request, Header::targetInstance) != m_id) {
        const bool keepOpen = co_await respond(socket, request, statusMisdirected, false);
        co_return keepOpen;
    }
    if (m_fault == UpstreamFault::Refusing) {
        const bool keepOpen = co_await respond(socket, request, statusUnavailable, false);
        co_return keepOpen;
    }
    checkRequest(request);
    checkColdRate();
    m_ledger.recordRun(attempt);
    ++*m_running;
    // The coroutine may be destroyed after this object.
    const ScopeGuard ended([running = m_running]() {
        --*running;
    });
    if (m_fault == UpstreamFault::Unresponsive) {
        Asio::steady_timer timer(m_io, unresponsiveTime);
        co_await timer.async_wait(awaitTuple);
        co_return false;
    }
    if (m_fault == UpstreamFault::Failing) {
        ++m_failures;
        const bool keepOpen = co_await respond(socket, request, m_failures % 2 == 0 ? statusInvalid : statusError, true);
        co_return keepOpen;
    }
    if (eventCount(request) > 0) {
        const bool keepOpen = co_await sendStream(socket, request);
        co_return keepOpen;
    }
    Asio::steady_timer timer(m_io, processingTime);
    co_await timer.async_wait(awaitTuple);
    const bool keepOpen = co_await respond(socket, request, statusOk, true);
    co_return keepOpen;
}

Asio::awaitable<bool> SoakUpstream::sendStream(std::shared_ptr<Socket> socket, const Request &request)
{
    const std::string attempt = field(request, Header::attemptId);
    const std::uint64_t last = eventCount(request);
    Asio::steady_timer timer(m_io, firstEventTime);
    co_await timer.async_wait(awaitTuple);
    if (field(request, Header::promptPrefix).find(Names::harmfulPart) != std::string::npos) {
        m_ledger.recordHarmfulRun(attempt, Clock::now());
        m_onCrash();
        crash(harmfulCrashTime);
        co_return false;
    }
    std::string bytes
        = responseHead(request, statusOk, true, m_leaving && m_announces, *m_running) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t event = number(field(request, Header::lastEventId)) + 1; event <= last; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + eventData(attempt, event) + "\n\n";
        const bool spoils = m_fault == UpstreamFault::Spoiling;
        bytes += chunk(spoils ? text + spoiledBytes : text);
        const auto [error, written] = co_await Asio::async_write(*socket, Asio::buffer(bytes), awaitTuple);
        if (error || spoils) {
            co_return false;
        }
        bytes.clear();
        timer.expires_after(eventInterval);
        co_await timer.async_wait(awaitTuple);
    }
    bytes += "0\r\n\r\n";
    const auto [error, written] = co_await Asio::async_write(*socket, Asio::buffer(bytes), awaitTuple);
    co_return !error;
}

Asio::awaitable<bool> SoakUpstream::respond(std::shared_ptr<Socket> socket, const Request &request, unsigned status, bool executed)
{
    const std::string body = completeBody(field(request, Header::attemptId));
    const std::string bytes = informational + responseHead(request, status, executed, m_leaving && m_announces, *m_running)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto [error, written] = co_await Asio::async_write(*socket, Asio::buffer(bytes), awaitTuple);
    co_return !error;
}

void SoakUpstream::checkRequest(const Request &request)
{
    const std::string attempt = field(request, Header::attemptId);
    if (!field(request, Header::authorization).empty()) {
        m_ledger.reportViolation(attempt + " reached an upstream with the credential of the caller");
    }
    if (field(request, Header::tenant) != Names::organisation) {
        m_ledger.reportViolation(attempt + " reached an upstream without the name of its organisation");
    }
    const std::chrono::milliseconds remaining(number(field(request, Header::deadline)));
    const RunLedger::Attempt *details = m_ledger.find(attempt);
    if (remaining.count() == 0 || (details != nullptr && remaining > details->deadline + checkTolerance)) {
        m_ledger.reportViolation(attempt + " reached an upstream without a deadline or with more time than the caller gave");
    }
    if (details == nullptr || !m_leavingSince) {
        return;
    }
    const bool hostFaultFree = details->hostFaultFreeSince <= *m_leavingSince - stabilisationTime;
    if (hostFaultFree && Clock::now() > *m_leavingSince + drainNoticeLimit + drainTolerance) {
        m_ledger.reportViolation(attempt + " reached " + m_id + " long after this upstream had announced that it leaves");
    }
}

void SoakUpstream::checkColdRate()
{
    const TimePoint now = Clock::now();
    if (now >= m_coldUntil) {
        return;
    }
    m_coldArrivals.push_back(now);
    while (m_coldArrivals.front() + std::chrono::seconds(1) <= now) {
        m_coldArrivals.pop_front();
    }
    if (m_coldArrivals.size() > mostColdArrivals) {
        m_ledger.reportViolation(m_id + " got " + std::to_string(m_coldArrivals.size()) + " requests in a second while it was cold");
        m_coldArrivals.clear();
    }
}

void SoakUpstream::publish(bool leaving)
{
    nlohmann::json entry = nlohmann::json::object();
    entry["service"] = m_service;
    entry["address"] = "127.0.0.1:" + std::to_string(m_proxy->port());
    entry["zone"] = m_dataCentre;
    entry["version"] = "v1";
    entry["slots"] = slots;
    entry["state"] = leaving ? "draining" : "ready";
    const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(m_coldUntil - Clock::now());
    entry["cold_remaining_ms"] = std::max<std::int64_t>(cold.count(), 0);
    entry["sequence"] = ++m_sequence;
    entry["born"] = m_restarts + 1;
    m_store.put("servers/" + m_id, entry.dump());
}

void SoakUpstream::scheduleRestart(std::chrono::milliseconds time)
{
    auto timer = std::make_shared<Asio::steady_timer>(m_io, time);
    timer->async_wait([this, timer](const boost::system::error_code &) {
        m_store.remove("servers/" + m_id);
        m_id = m_name + "-" + std::to_string(++m_restarts);
        m_alive = true;
        m_leaving = false;
        m_announces = true;
        m_leavingSince.reset();
        m_coldUntil = Clock::now() + coldTime;
        m_coldArrivals.clear();
        m_server.setRefusing(false);
        publish(false);
    });
}

}
