#include "StandIns/UpstreamServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace Mangofall::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
constexpr std::chrono::hours stallLimit{1}; // Longer than any test run; bounds the memory of stalled connections.

std::uint64_t parseNumber(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? value : fallback;
}

bool isControlRequest(std::string_view target)
{
    return target == "/control";
}

}

Connection::Connection(tcp::socket accepted)
    : socket(std::move(accepted))
    , stallTimer(socket.get_executor())
{
}

UpstreamServer::UpstreamServer(asio::io_context &context, std::uint16_t port)
    : m_context(context)
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
{
}

std::uint16_t UpstreamServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void UpstreamServer::start()
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
}

awaitable<void> UpstreamServer::respond(Connection &connection, const HttpRequest &request, int status, std::string body, const Headers &headers)
{
    http::response<http::string_body> response(static_cast<http::status>(status), request.version());
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.body() = std::move(body);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await waitIfStalled(connection);
    co_await http::async_write(connection.socket, response, use_awaitable);
}

awaitable<void> UpstreamServer::respondJson(Connection &connection, const HttpRequest &request, int status, nlohmann::json body, Headers headers)
{
    headers.emplace_back("Content-Type", "application/json");
    co_await respond(connection, request, status, body.dump(), headers);
}

awaitable<void> UpstreamServer::waitIfStalled(Connection &connection)
{
    if (connection.stalled && !connection.control) {
        connection.stallTimer.expires_after(stallLimit);
        boost::system::error_code ignored;
        co_await connection.stallTimer.async_wait(asio::redirect_error(use_awaitable, ignored));
        throw boost::system::system_error(asio::error::connection_aborted);
    }
}

awaitable<void> UpstreamServer::sleepFor(std::chrono::nanoseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(use_awaitable);
}

void UpstreamServer::stallConnections()
{
    for (const auto &connection : m_connections) {
        connection->stalled = !connection->control;
    }
}

void UpstreamServer::dropConnections()
{
    for (const auto &connection : m_connections) {
        if (!connection->control) {
            boost::system::error_code ignored;
            // A linger time of 0 makes close() reset the connection, as when the process dies.
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
            connection->stallTimer.cancel();
        }
    }
}

std::size_t UpstreamServer::stalledConnections() const
{
    std::size_t count = 0;
    for (const auto &connection : m_connections) {
        count += connection->stalled ? 1 : 0;
    }
    return count;
}

asio::io_context &UpstreamServer::context()
{
    return m_context;
}

awaitable<void> UpstreamServer::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (error) {
            // For example, no file descriptors are left; connections that close free some.
            co_await sleepFor(std::chrono::milliseconds(10));
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket));
        m_connections.insert(connection);
        asio::co_spawn(m_context, serve(connection), asio::detached);
    }
}

awaitable<void> UpstreamServer::serve(std::shared_ptr<Connection> connection)
{
    try {
        co_await serveRequests(*connection);
    } catch (const std::exception &) {
        // A broken or dropped connection ends here; the client sees that it is closed.
    }
    m_connections.erase(connection);
}

awaitable<void> UpstreamServer::serveRequests(Connection &connection)
{
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        parser.header_limit(maxHeaderBytes);
        co_await http::async_read_header(connection.socket, buffer, parser, use_awaitable);
        connection.control = isControlRequest(std::string_view(parser.get().target().data(), parser.get().target().size()));
        if (!connection.control && !serving()) {
            co_return;
        }
        co_await http::async_read(connection.socket, buffer, parser, use_awaitable);
        co_await waitIfStalled(connection);
        HttpRequest request = parser.release();
        co_await handle(connection, request);
        open = request.keep_alive();
    }
}

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
    return found == request.end() ? std::string() : std::string(found->value());
}

std::uint64_t numberHeader(const HttpRequest &request, std::string_view name, std::uint64_t fallback)
{
    return parseNumber(headerOf(request, name), fallback);
}

std::uint64_t numberInQuery(std::string_view target, std::string_view name, std::uint64_t fallback)
{
    const std::string pattern = std::string(name) + "=";
    const std::size_t query = target.find('?');
    const std::size_t at = query == std::string_view::npos ? query : target.find(pattern, query);
    return at == std::string_view::npos ? fallback : parseNumber(target.substr(at + pattern.size()), fallback);
}

}
