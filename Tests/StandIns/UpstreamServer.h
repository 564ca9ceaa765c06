#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Mangofall::StandIns {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/**
 * \class Connection
 * \brief Accepted connection and the faults injected into it.
 */
struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted);

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer stallTimer;
    bool stalled = false; ///< Whether the connection stays open but carries no more traffic.
    bool control = false; ///< Whether the connection carries a control request, which injected faults do not affect.
};

/**
 * \class UpstreamServer
 * \brief HTTP/1.1 server on 127.0.0.1 whose connections can be stalled or dropped; runs on one thread.
 */
class UpstreamServer
{
public:
    /// Listens on \p port, or on a free port if it is 0. Throws if the port is taken.
    UpstreamServer(boost::asio::io_context &context, std::uint16_t port);
    virtual ~UpstreamServer() = default;
    UpstreamServer(const UpstreamServer &) = delete;
    UpstreamServer &operator=(const UpstreamServer &) = delete;

    std::uint16_t port() const;
    void start();

protected:
    virtual boost::asio::awaitable<void> handle(Connection &connection, HttpRequest &request) = 0;
    /// Whether requests other than control requests are served now; if not, their connections are closed.
    virtual bool serving() const = 0;

    boost::asio::awaitable<void> respond(Connection &connection, const HttpRequest &request, int status, std::string body, const Headers &headers = {});
    boost::asio::awaitable<void> respondJson(Connection &connection, const HttpRequest &request, int status, nlohmann::json body, Headers headers = {});
    /// Returns at once if the connection is not stalled; otherwise waits until it is dropped and throws.
    static boost::asio::awaitable<void> waitIfStalled(Connection &connection);
    static boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds time);
    void stallConnections();
    void dropConnections();
    std::size_t stalledConnections() const;
    boost::asio::io_context &context();

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> serveRequests(Connection &connection);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
};

/// Value of header \p name; empty if absent.
std::string headerOf(const HttpRequest &request, std::string_view name);
/// Decimal value of header \p name; \p fallback if absent or malformed.
std::uint64_t numberHeader(const HttpRequest &request, std::string_view name, std::uint64_t fallback);
/// Decimal value of \p name in the query of the request target; \p fallback if absent or malformed.
std::uint64_t numberInQuery(std::string_view target, std::string_view name, std::uint64_t fallback);

}
