#include "Fleet.h"

#include "Deployment.h"
#include "Record.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace Mangofall::Review {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);
constexpr std::chrono::milliseconds watchInterval{10};
constexpr std::chrono::milliseconds restartDelay{400};
constexpr std::chrono::milliseconds readyInterval{100};
constexpr std::chrono::milliseconds readyTimeout{500};
constexpr unsigned httpVersion = 11;
constexpr unsigned statusOk = 200;

// Each case process has loopback addresses of its own, so that the ports of a day are free there.
std::string loopbackAddress(std::size_t index)
{
    constexpr int values = 250; // Of a byte, without those that have a special meaning in addresses.
    const int process = ::getpid();
    return "127." + std::to_string(1 + process % values) + "." + std::to_string(1 + process / values % values) + "." + std::to_string(index + 1);
}

}

Fleet::Fleet(Asio::io_context &io, const std::vector<std::string> &zones, Record &record)
    : m_io(io)
    , m_record(record)
    , m_store(io, [](const std::string &, std::string value) {
        return value;
    })
{
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const std::string node = "front-" + zones[index] + "-" + std::to_string(index + 1);
        m_hosts.push_back(std::make_unique<EdgeProcess>(Machine{node, zones[index], loopbackAddress(index)}, m_store.port(), m_folder.path()));
    }
    m_restartAt.resize(m_hosts.size());
    m_memoryExceeded.resize(m_hosts.size());
}

Soak::SoakStore &Fleet::store()
{
    return m_store;
}

EdgeProcess &Fleet::host(std::size_t index)
{
    return *m_hosts.at(index);
}

std::size_t Fleet::size() const
{
    return m_hosts.size();
}

void Fleet::start()
{
    for (const std::unique_ptr<EdgeProcess> &host : m_hosts) {
        host->start();
        m_record.write("start " + host->machine().node + " at " + host->machine().address);
    }
    Asio::co_spawn(m_io, watch(), Asio::detached);
}

Asio::awaitable<bool> Fleet::awaitReady(std::chrono::milliseconds limit)
{
    const TimePoint giveUpAt = Clock::now() + limit;
    std::size_t ready = 0;
    while (ready < m_hosts.size() && Clock::now() < giveUpAt) {
        const bool isUp = co_await isReady(m_hosts[ready]->readyAddress());
        ready += isUp ? 1 : 0;
        if (!isUp) {
            co_await pause(readyInterval);
        }
    }
    m_record.write(std::to_string(ready) + " hosts ready");
    co_return ready == m_hosts.size();
}

Asio::awaitable<void> Fleet::pause(std::chrono::milliseconds time)
{
    Asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(awaitTuple);
}

const std::vector<Fleet::End> &Fleet::ends() const
{
    return m_ends;
}

std::uint64_t Fleet::largestMemory() const
{
    return m_largestMemory;
}

Asio::awaitable<void> Fleet::watch()
{
    while (true) {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            check(index);
        }
        co_await pause(watchInterval);
    }
}

// "A process that exceeds memory_mb is killed." and "A process that exits or is killed is restarted after a short delay".
void Fleet::check(std::size_t index)
{
    EdgeProcess &host = *m_hosts[index];
    const std::string &node = host.machine().node;
    const std::uint64_t memory = host.residentBytes();
    const TimePoint now = Clock::now();
    m_largestMemory = std::max(m_largestMemory, memory);
    if (memory > machineMemoryBytes && !m_memoryExceeded[index]) {
        m_record.write("memory of " + node + " is " + std::to_string(memory) + " bytes, more than memory_mb: killed");
        m_memoryExceeded[index] = true;
        host.signal(SIGKILL);
    }
    if (const std::optional<int> status = host.reap()) {
        m_record.write("end of " + node + ", wait status " + std::to_string(*status));
        m_ends.push_back({index, now, m_memoryExceeded[index]});
        m_memoryExceeded[index] = false;
        m_restartAt[index] = now + restartDelay;
    }
    if (m_restartAt[index] && now >= *m_restartAt[index]) {
        m_restartAt[index].reset();
        host.start();
        m_record.write("start " + node + " again");
    }
}

Asio::awaitable<bool> Fleet::isReady(NetworkAddress address)
{
    Beast::tcp_stream stream(m_io);
    stream.expires_after(readyTimeout);
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(address.address), address.port);
    const auto [connectError] = co_await stream.async_connect(endpoint, awaitTuple);
    if (connectError) {
        co_return false;
    }
    Http::request<Http::empty_body> request(Http::verb::get, "/v1/ready", httpVersion);
    request.set(Http::field::host, address.address);
    const auto [writeError, written] = co_await Http::async_write(stream, request, awaitTuple);
    Beast::flat_buffer buffer;
    Http::response<Http::string_body> response;
    const auto [readError, read] = co_await Http::async_read(stream, buffer, response, awaitTuple);
    co_return !writeError && !readError && response.result_int() == statusOk;
}

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string caseFolder(int argc, char **argv)
{
    if (argc != 2) {
        throw std::runtime_error("usage: case-N FOLDER");
    }
    return argv[1];
}

TemporaryFolder::TemporaryFolder()
{
    m_path = (std::filesystem::temp_directory_path() / "mangofall-review-XXXXXX").string();
    if (::mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

const std::string &TemporaryFolder::path() const
{
    return m_path;
}

}
