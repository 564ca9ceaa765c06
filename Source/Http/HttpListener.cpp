#include "Http/HttpListener.h"

#include "Http/HttpExchange.h"
#include "Http/HttpHandler.h"
#include "Peer/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace BeastHttp = boost::beast::http;

constexpr std::chrono::seconds idleTimeout{60};
constexpr std::chrono::seconds headerTimeout{10};
constexpr std::chrono::seconds bodyTimeout{60};
constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr unsigned statusMalformed = 400;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

using Parser = BeastHttp::request_parser<BeastHttp::string_body>;

// Status to answer with for a request that could not be read; 0 if the connection just ended.
unsigned statusOf(const boost::system::error_code &error)
{
    if (error == BeastHttp::error::body_limit) {
        return statusTooLarge;
    }
    if (error == BeastHttp::error::header_limit || error == BeastHttp::error::buffer_overflow) {
        return statusHeaderTooLarge;
    }
    const bool parseError = error.category() == make_error_code(BeastHttp::error::bad_method).category();
    if (!parseError || error == BeastHttp::error::end_of_stream || error == BeastHttp::error::partial_message) {
        return 0;
    }
    return statusMalformed;
}

class Connection
{
public:
    Connection(Asio::ip::tcp::socket socket, HttpHandler &handler, std::uint64_t maxBodyBytes, std::shared_ptr<const bool> closing)
        : m_stream(std::move(socket))
        , m_handler(handler)
        , m_maxBodyBytes(maxBodyBytes)
        , m_closing(std::move(closing))
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(Asio::ip::tcp::no_delay(true), ignored);
    }

    static Asio::awaitable<void> run(std::unique_ptr<Connection> self)
    {
        while (co_await self->serveOne() && !*self->m_closing) {
        }
        boost::system::error_code ignored;
        self->m_stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
    }

private:
    Asio::awaitable<bool> serveOne()
    {
        Parser parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(m_maxBodyBytes);
        m_stream.expires_after(m_buffer.size() == 0 ? idleTimeout : headerTimeout);
        boost::system::error_code error = std::get<0>(co_await BeastHttp::async_read_header(m_stream, m_buffer, parser, awaitTuple));
        if (!error && parser.get()[BeastHttp::field::expect] == "100-continue") {
            error = co_await writeContinue();
        }
        if (!error) {
            m_stream.expires_after(bodyTimeout);
            error = std::get<0>(co_await BeastHttp::async_read(m_stream, m_buffer, parser, awaitTuple));
        }
        if (error) {
            co_await refuse(error, parser);
            co_return false;
        }
        m_stream.expires_never();
        HttpExchange exchange(m_stream, parser.release());
        co_await m_handler.handle(exchange);
        co_return exchange.keepAlive();
    }

    Asio::awaitable<boost::system::error_code> writeContinue()
    {
        BeastHttp::response<BeastHttp::empty_body> response(BeastHttp::status::continue_, 11);
        co_return std::get<0>(co_await BeastHttp::async_write(m_stream, response, awaitTuple));
    }

    Asio::awaitable<void> refuse(const boost::system::error_code &error, Parser &parser)
    {
        const unsigned status = statusOf(error);
        if (status == 0) {
            co_return;
        }
        HttpExchange exchange(m_stream, parser.release());
        exchange.abort();
        co_await m_handler.handleUnreadable(exchange, status);
    }

    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    HttpHandler &m_handler;
    std::uint64_t m_maxBodyBytes;
    std::shared_ptr<const bool> m_closing;
};

}

struct HttpListener::Private {
    std::shared_ptr<bool> closing = std::make_shared<bool>(false);
    TcpListener listener;

    Private(Asio::io_context &context, HttpHandler &handler, std::uint64_t maxBodyBytes)
        : listener(context, [this, &context, &handler, maxBodyBytes](Asio::ip::tcp::socket socket) {
            auto connection = std::make_unique<Connection>(std::move(socket), handler, maxBodyBytes, closing);
            Asio::co_spawn(context, Connection::run(std::move(connection)), Asio::detached);
        })
    {
    }
};

HttpListener::HttpListener(Asio::io_context &context, HttpHandler &handler, std::uint64_t maxBodyBytes)
    : m_d(std::make_unique<Private>(context, handler, maxBodyBytes))
{
}

HttpListener::~HttpListener() = default;

std::error_code HttpListener::listen(const std::string &address, std::uint16_t port)
{
    return m_d->listener.listen(address, port, true);
}

std::uint16_t HttpListener::port() const
{
    return m_d->listener.port();
}

void HttpListener::close()
{
    *m_d->closing = true;
    m_d->listener.close();
}

}
