#include "Runner.h"

#include "Http/BeastStrings.h"
#include "Record.h"

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

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::size_t plainBodyBytes = 800;
constexpr unsigned statusOk = 200;

std::string refusal(const Runner::Request &request, const std::string &statusLine, const std::string &fields)
{
    return "HTTP/1.1 " + statusLine + "\r\nAttempt-Id: " + field(request, "Attempt-Id") + "\r\nNot-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string jsonAnswer(const nlohmann::json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

// Counts a request as running while this object lives.
class RunningRequest
{
public:
    explicit RunningRequest(unsigned &count)
        : m_count(count)
    {
        ++m_count;
    }

    ~RunningRequest()
    {
        --m_count;
    }

    RunningRequest(const RunningRequest &) = delete;
    RunningRequest &operator=(const RunningRequest &) = delete;

private:
    unsigned &m_count;
};

}

std::string field(const Runner::Request &request, std::string_view name)
{
    const auto value = request[toBeast(name)];
    return {value.data(), value.size()};
}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

std::string answerHead(const Runner::Request &request, unsigned status)
{
    const std::string attempt = field(request, "Attempt-Id");
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s-" + attempt + "\r\n";
}

Runner::Runner(Asio::io_context &io, RunnerEntry entry, const RunnerTimes &times, Soak::SoakStore &store, Record &record)
    : m_io(io)
    , m_entry(std::move(entry))
    , m_times(times)
    , m_store(store)
    , m_record(record)
    , m_server(io, [this](SocketPointer socket) {
        return serve(std::move(socket));
    })
{
}

Runner::~Runner() = default;

void Runner::publish(const char *state, std::chrono::milliseconds coldTime)
{
    nlohmann::json value = nlohmann::json::object();
    value["service"] = m_entry.service;
    value["address"] = address();
    value["zone"] = m_entry.zone;
    value["version"] = "v1";
    value["slots"] = m_entry.slots;
    value["state"] = state;
    value["cold_remaining_ms"] = coldTime.count();
    value["sequence"] = ++m_sequence;
    value["born"] = 1;
    m_store.put("servers/" + m_entry.id, value.dump());
    m_record.write("entry " + m_entry.id + " " + value.dump());
}

void Runner::exit()
{
    m_server.setRefusing(true);
    m_server.resetConnections();
    m_record.write("exit of " + m_entry.id);
}

const RunnerEntry &Runner::entry() const
{
    return m_entry;
}

std::string Runner::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

const std::vector<Runner::Arrival> &Runner::arrivals() const
{
    return m_arrivals;
}

bool Runner::executed(const std::string &attempt) const
{
    return std::any_of(m_arrivals.begin(), m_arrivals.end(), [&](const Arrival &arrival) {
        return arrival.executed && arrival.attempt == attempt;
    });
}

Record &Runner::record()
{
    return m_record;
}

const RunnerTimes &Runner::times() const
{
    return m_times;
}

Asio::awaitable<void> Runner::serve(SocketPointer socket)
{
    boost::beast::flat_buffer buffer;
    bool keepOpen = true;
    while (keepOpen) {
        Request request;
        const auto [error, read] = co_await Http::async_read(*socket, buffer, request, awaitTuple);
        if (error) {
            break;
        }
        keepOpen = co_await answer(socket, request);
    }
    boost::system::error_code ignored;
    socket->close(ignored);
}

Asio::awaitable<bool> Runner::answer(SocketPointer socket, const Request &request)
{
    if (request.target() == "/health") {
        std::string healthy = "HTTP/1.1 200 OK\r\nInstance-Id: " + m_entry.id + "\r\nContent-Length: 0\r\n\r\n";
        const bool keepOpen = co_await write(socket, std::move(healthy));
        co_return keepOpen;
    }
    const std::string target = field(request, "Target-Instance");
    if (!target.empty() && target != m_entry.id) {
        std::string misdirected = refusal(request, "421 Misdirected Request", "Instance-Id: " + m_entry.id + "\r\n");
        const bool keepOpen = co_await write(socket, std::move(misdirected));
        co_return keepOpen;
    }
    if (request.target() == "/v1/order") {
        const bool keepOpen = co_await order(socket, request);
        co_return keepOpen;
    }
    const std::string attempt = field(request, "Attempt-Id");
    const bool full = m_running >= m_entry.slots;
    m_arrivals.push_back({attempt, Clock::now(), !full});
    m_record.write("at " + m_entry.id + " " + attempt + (full ? " rejected" : " runs"));
    if (full) {
        std::string rejected = refusal(request, "503 Service Unavailable", "");
        const bool keepOpen = co_await write(socket, std::move(rejected));
        co_return keepOpen;
    }
    const RunningRequest running(m_running);
    const bool keepOpen = co_await execute(socket, request);
    co_return keepOpen;
}

Asio::awaitable<bool> Runner::execute(SocketPointer socket, const Request &request)
{
    if (!field(request, "Token-Counts").empty()) {
        const bool keepOpen = co_await sendStream(socket, request);
        co_return keepOpen;
    }
    co_await pause(m_times.processing);
    std::string bytes = answerHead(request, statusOk) + "Content-Length: " + std::to_string(plainBodyBytes) + "\r\n\r\n" + std::string(plainBodyBytes, 'r');
    const bool keepOpen = co_await write(socket, std::move(bytes));
    co_return keepOpen;
}

Asio::awaitable<bool> Runner::order(SocketPointer socket, const Request &request)
{
    static_cast<void>(request);
    nlohmann::json body = nlohmann::json::object();
    body["free"] = 300000;
    std::string bytes = jsonAnswer(body);
    const bool keepOpen = co_await write(socket, std::move(bytes));
    co_return keepOpen;
}

Asio::awaitable<bool> Runner::sendStream(SocketPointer socket, const Request &request)
{
    co_await pause(m_times.firstEvent);
    std::string bytes = answerHead(request, statusOk) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t event = number(field(request, "Last-Event-Id")) + 1; event <= m_times.events; ++event) {
        bytes += chunk("id: " + std::to_string(event) + "\ndata: " + field(request, "Attempt-Id") + "\n\n");
        const bool written = co_await write(socket, std::exchange(bytes, {}));
        if (!written) {
            co_return false;
        }
        co_await pause(m_times.eventInterval);
    }
    std::string last = "0\r\n\r\n";
    const bool keepOpen = co_await write(socket, std::move(last));
    co_return keepOpen;
}

Asio::awaitable<bool> Runner::write(SocketPointer socket, std::string bytes)
{
    const auto [error, written] = co_await Asio::async_write(*socket, Asio::buffer(bytes), awaitTuple);
    co_return !error;
}

Asio::awaitable<void> Runner::pause(std::chrono::milliseconds time)
{
    Asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(awaitTuple);
}

}
