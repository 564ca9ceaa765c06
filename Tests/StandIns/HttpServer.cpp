#include "StandIns/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace Mangofall::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Above the store's 1 MB value limit, so that the handler, not the parser, rejects larger values.
constexpr std::size_t maxBodyBytes = 4'000'000;

}

HttpResponse jsonResponse(http::status status, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

HttpServer::HttpServer(asio::io_context &context, std::uint16_t port, HttpHandler handler)
    : m_context(context)
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_handler(std::move(handler))
{
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void HttpServer::start()
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

asio::awaitable<void> HttpServer::accept()
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        boost::system::error_code error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const HttpRequest request = parser.release();
        std::optional<HttpResponse> response = co_await m_handler(request);
        if (!response.has_value()) {
            co_return;
        }
        response->keep_alive(request.keep_alive());
        response->prepare_payload();
        co_await http::async_write(socket, *response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !request.keep_alive()) {
            co_return;
        }
    }
}

}
