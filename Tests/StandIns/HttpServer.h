#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Mangofall::StandIns {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Handles one request and returns its response; an empty result closes the connection without a response.
using HttpHandler = std::function<boost::asio::awaitable<std::optional<HttpResponse>>(const HttpRequest &)>;

/// Builds a response with \p status and a JSON \p body.
HttpResponse jsonResponse(boost::beast::http::status status, std::string body);

/**
 * \class HttpServer
 * \brief Minimal HTTP server on 127.0.0.1 for stand-ins; runs on one thread.
 */
class HttpServer
{
public:
    /// Binds \p port (0 = any free port) and listens; throws boost::system::system_error if the port is in use.
    HttpServer(boost::asio::io_context &context, std::uint16_t port, HttpHandler handler);

    std::uint16_t port() const;
    void start();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
};

}
