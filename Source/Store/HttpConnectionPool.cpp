#include "Store/HttpConnectionPool.h"

#include "Http/ResponseCompleteness.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace Mangofall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// A value in the store has at most 1 MB. A complete configuration at the scale of the design is below 16 MB.
constexpr std::uint64_t maxAnswerBytes = 16'000'000;
// The largest chunk size line or trailer section of an answer.
constexpr std::size_t maxFramingBytes = 64UL * 1024;
constexpr std::size_t maxIdleConnections = 8;

}

HttpConnectionPool::HttpConnectionPool(asio::io_context &context, NetworkAddress server)
    : m_context(context)
    , m_server(std::move(server))
{
}

TimePoint HttpConnectionPool::Limit::next() const
{
    return std::min(deadline, std::chrono::steady_clock::now() + silence);
}

asio::awaitable<std::unique_ptr<HttpConnectionPool::Stream>> HttpConnectionPool::connect(Limit limit)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(m_server.address, error);
    if (error) {
        co_return nullptr;
    }
    auto stream = std::make_unique<Stream>(m_context);
    stream->expires_at(limit.next());
    co_await stream->async_connect(asio::ip::tcp::endpoint(address, m_server.port), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return stream;
}

asio::awaitable<HttpConnectionPool::ReadResult> HttpConnectionPool::readResponse(Stream &stream, Limit limit)
{
    ReadResult result;
    beast::flat_buffer buffer(maxFramingBytes);
    ResponseCompleteness completeness;
    std::optional<http::response_parser<http::string_body>> parser;
    while (!completeness.hasFinalHeader()) {
        parser.emplace();
        parser->body_limit(maxAnswerBytes);
        while (!result.error && !parser->is_done()) {
            stream.expires_at(limit.next());
            co_await http::async_read_some(stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, result.error));
        }
        if (!result.error) {
            result.error = completeness.headerReceived(parser->get().result_int(), parser->need_eof());
        }
        if (result.error) {
            co_return result;
        }
    }
    result.error = completeness.bodyEnded();
    if (!result.error) {
        result.allowsReuse = completeness.allowsReuse() && parser->keep_alive() && buffer.size() == 0;
        result.response = parser->release();
    }
    co_return result;
}

asio::awaitable<HttpCallResult> HttpConnectionPool::exchange(std::unique_ptr<Stream> stream, Request &request, Limit limit)
{
    HttpCallResult result;
    result.possiblySent = true;
    boost::system::error_code error;
    stream->expires_at(limit.next());
    co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
    // Nothing is read after a failed write: a call to the store is small, so that the connection was lost before the call arrived.
    ReadResult read;
    if (error) {
        read.error = error;
    } else {
        read = co_await readResponse(*stream, limit);
    }
    if (read.error) {
        m_idleConnections.clear();
    }
    result.response = std::move(read.response);
    if (read.allowsReuse && m_idleConnections.size() < maxIdleConnections) {
        stream->expires_never();
        m_idleConnections.push_back(std::move(stream));
    }
    co_return result;
}

asio::awaitable<HttpCallResult> HttpConnectionPool::call(Request request, Duration timeout, bool idempotent)
{
    return call(std::move(request), Timeout{timeout, timeout}, idempotent);
}

asio::awaitable<HttpCallResult> HttpConnectionPool::call(Request request, Timeout timeout, bool idempotent)
{
    const Limit limit{std::chrono::steady_clock::now() + timeout.total, timeout.silence};
    request.version(11);
    request.set(http::field::host, m_server.address);
    request.prepare_payload();
    if (!m_idleConnections.empty()) {
        std::unique_ptr<Stream> reused = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
        HttpCallResult result = co_await exchange(std::move(reused), request, limit);
        const bool retry = !result.response.has_value() && idempotent && std::chrono::steady_clock::now() < limit.deadline;
        if (!retry) {
            co_return result;
        }
    }
    std::unique_ptr<Stream> connected = co_await connect(limit);
    if (connected == nullptr) {
        co_return HttpCallResult();
    }
    co_return co_await exchange(std::move(connected), request, limit);
}

}
