#include "Http/UpstreamCall.h"

#include "Http/BeastStrings.h"
#include "Http/KeepAlive.h"
#include "Http/UpstreamConnectionPool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <limits>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr std::size_t readBufferBytes = 16UL * 1024;
constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

}

UpstreamCall::UpstreamCall(std::shared_ptr<UpstreamConnectionPool> pool, TimePoint deadline)
    : m_pool(std::move(pool))
    , m_deadline(deadline)
{
}

UpstreamCall::~UpstreamCall()
{
    if (canReuseConnection()) {
        m_pool->release(std::move(m_stream));
    }
}

void UpstreamCall::detectUnreachableUpstream()
{
    m_detectsUnreachable = true;
}

Asio::awaitable<boost::system::error_code> UpstreamCall::start(Request request)
{
    const std::string body = std::move(request.body());
    const boost::system::error_code error = co_await start(std::move(request), body);
    co_return error;
}

Asio::awaitable<boost::system::error_code> UpstreamCall::start(Request request, std::string_view body)
{
    boost::system::error_code error;
    m_stream = co_await m_pool->acquire(m_deadline, error);
    if (error || m_cancelled) {
        m_connectFailed = !m_cancelled;
        co_return error ? error : Asio::error::operation_aborted;
    }
    if (m_detectsUnreachable) {
        enableKeepAlive(m_stream->socket());
    }
    if (request.find(BeastHttp::field::host) == request.end()) {
        request.set(BeastHttp::field::host, m_pool->hostHeader());
    }
    BeastHttp::request<BeastHttp::span_body<const char>> message(std::move(request.base()));
    message.body() = boost::beast::span<const char>(body.data(), body.size());
    message.prepare_payload();
    m_stream->expires_at(m_deadline);
    // Even a failed write may have sent some bytes.
    m_anyBytesSent = true;
    error = std::get<0>(co_await BeastHttp::async_write(*m_stream, message, awaitTuple));
    if (error && (m_cancelled || error == boost::beast::error::timeout)) {
        co_return error;
    }
    if (error) {
        m_completeness.requestWriteFailed();
    }
    const boost::system::error_code readError = co_await readFinalHeader();
    // Without a response, the failed write is the cause; reading reports only an end.
    const bool hasNoResponse = readError == BeastHttp::error::end_of_stream;
    co_return error &&hasNoResponse ? error : readError;
}

Asio::awaitable<boost::system::error_code> UpstreamCall::readFinalHeader()
{
    while (!m_completeness.hasFinalHeader()) {
        m_parser = std::make_unique<Parser>();
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        const auto [readError, bytes] = co_await BeastHttp::async_read_header(*m_stream, m_buffer, *m_parser, awaitTuple);
        if (readError) {
            co_return readError;
        }
        const boost::system::error_code malformed = m_completeness.headerReceived(m_parser->get().result_int(), m_parser->need_eof());
        if (malformed) {
            co_return malformed;
        }
    }
    co_return boost::system::error_code();
}

Asio::awaitable<boost::system::error_code> UpstreamCall::read(std::string &bodyPart)
{
    bodyPart.clear();
    std::array<char, readBufferBytes> data;
    while (bodyPart.empty() && !m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = data.data();
        body.size = data.size();
        const auto [error, bytes] = co_await BeastHttp::async_read_some(*m_stream, m_buffer, *m_parser, awaitTuple);
        m_receivedBytes += bytes;
        if (error && error != BeastHttp::error::need_buffer) {
            co_return error;
        }
        bodyPart.append(data.data(), data.size() - body.size);
    }
    co_return bodyPart.empty() ? m_completeness.bodyEnded() : boost::system::error_code();
}

Asio::awaitable<boost::system::error_code> UpstreamCall::readAll(std::string &body, std::size_t limitBytes)
{
    std::string bodyPart;
    while (m_receivedBytes <= limitBytes) {
        const boost::system::error_code error = co_await read(bodyPart);
        if (error || bodyPart.empty()) {
            co_return error;
        }
        body += bodyPart;
    }
    co_return BeastHttp::make_error_code(BeastHttp::error::body_limit);
}

std::size_t UpstreamCall::receivedBytes() const
{
    return m_receivedBytes;
}

const BeastHttp::fields &UpstreamCall::fields() const
{
    return m_parser->get();
}

unsigned UpstreamCall::status() const
{
    return m_parser ? m_parser->get().result_int() : 0;
}

std::string UpstreamCall::header(std::string_view name) const
{
    const auto &fields = m_parser->get();
    const auto position = fields.find(toBeast(name));
    return position == fields.end() ? std::string() : std::string(position->value());
}

bool UpstreamCall::anyBytesSent() const
{
    return m_anyBytesSent;
}

bool UpstreamCall::connectFailed() const
{
    return m_connectFailed;
}

// Bytes behind the response belong to no request, so that the next response on the connection could be theirs.
bool UpstreamCall::canReuseConnection() const
{
    return m_completeness.allowsReuse() && m_parser->keep_alive() && m_buffer.size() == 0 && !m_cancelled;
}

void UpstreamCall::cancel()
{
    m_cancelled = true;
    if (m_stream) {
        boost::system::error_code ignored;
        m_stream->socket().close(ignored);
    }
}

}
