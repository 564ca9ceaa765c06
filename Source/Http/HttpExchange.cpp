#include "Http/HttpExchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <chrono>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace BeastHttp = boost::beast::http;

constexpr std::chrono::seconds writeTimeout{30};
constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

template<class Message>
void setFields(Message &message, const std::string &contentType, const HeaderFields &fields)
{
    message.set(BeastHttp::field::server, "mangofall");
    if (!contentType.empty()) {
        message.set(BeastHttp::field::content_type, contentType);
    }
    for (const auto &[name, value] : fields) {
        message.set(name, value);
    }
}

// Whether the peer has closed its side, that is, end of file or an error; consumes no data.
bool peerHasClosed(int socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}

HttpExchange::HttpExchange(Beast::tcp_stream &stream, Request request, TimePoint receivedAt)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_receivedAt(receivedAt)
    , m_keepAlive(m_request.keep_alive())
{
}

const HttpExchange::Request &HttpExchange::request() const
{
    return m_request;
}

HttpExchange::Request &HttpExchange::request()
{
    return m_request;
}

TimePoint HttpExchange::receivedAt() const
{
    return m_receivedAt;
}

std::string_view HttpExchange::header(std::string_view name) const
{
    const auto position = m_request.find(Beast::string_view(name.data(), name.size()));
    if (position == m_request.end()) {
        return {};
    }
    return {position->value().data(), position->value().size()};
}

Asio::awaitable<bool> HttpExchange::respond(unsigned status, std::string contentType, std::string body, HeaderFields fields)
{
    BeastHttp::response<BeastHttp::string_body> response(static_cast<BeastHttp::status>(status), m_request.version());
    setFields(response, contentType, fields);
    response.keep_alive(m_keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    m_started = true;
    m_stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await BeastHttp::async_write(m_stream, response, awaitTuple);
    co_return !error;
}

Asio::awaitable<bool> HttpExchange::startStream(unsigned status, std::string contentType, HeaderFields fields)
{
    BeastHttp::response<BeastHttp::empty_body> response(static_cast<BeastHttp::status>(status), m_request.version());
    setFields(response, contentType, fields);
    response.set(BeastHttp::field::cache_control, "no-store");
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    BeastHttp::response_serializer<BeastHttp::empty_body> serializer(response);
    m_started = true;
    m_stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await BeastHttp::async_write_header(m_stream, serializer, awaitTuple);
    co_return !error;
}

Asio::awaitable<bool> HttpExchange::writeChunk(std::string_view data)
{
    if (data.empty()) {
        co_return true; // An empty chunk would end the stream.
    }
    m_stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await Asio::async_write(m_stream, BeastHttp::make_chunk(Asio::buffer(data.data(), data.size())), awaitTuple);
    co_return !error;
}

Asio::awaitable<bool> HttpExchange::finishStream()
{
    m_stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await Asio::async_write(m_stream, BeastHttp::make_chunk_last(), awaitTuple);
    co_return !error;
}

void HttpExchange::abortStream()
{
    m_keepAlive = false;
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
}

bool HttpExchange::started() const
{
    return m_started;
}

bool HttpExchange::keepAlive() const
{
    return m_keepAlive;
}

void HttpExchange::disableKeepAlive()
{
    m_keepAlive = false;
}

void HttpExchange::watchForClose(std::function<void()> handler)
{
    auto &socket = m_stream.socket();
    // The wait ends without an error only if data or an end of file arrives. Pipelined data means that the caller is still connected.
    socket.async_wait(Asio::socket_base::wait_read, [&socket, handler = std::move(handler)](const boost::system::error_code &error) {
        if (!error && peerHasClosed(socket.native_handle())) {
            handler();
        }
    });
}

}
