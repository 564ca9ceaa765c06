#include "Http/HttpListener.h"

#include "Base/AsyncTasks.h"
#include "Http/HttpExchange.h"
#include "Http/HttpHandler.h"
#include "Http/HttpServerLimits.h"
#include "Http/RequestMemory.h"
#include "Peer/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_set>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace BeastHttp = boost::beast::http;

constexpr std::size_t readAheadBytes = 4096;
// The largest chunk size line or trailer section of a request.
constexpr std::size_t maxFramingBytes = 64UL * 1024;
// A request that crosses the close of its connection arrives within this time, and is then answered instead of lost.
constexpr std::chrono::milliseconds lateRequestTime{100};
// How long, and for how many bytes, a caller may go on sending a request that is answered already. Closing the connection with unread bytes would reset it,
// and the caller might lose the answer.
constexpr std::chrono::milliseconds drainTime{500};
constexpr std::size_t minDrainBytes = 4UL * 1024 * 1024;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr unsigned statusUnavailable = 503;
constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

using Parser = BeastHttp::request_parser<BeastHttp::string_body>;

// HTTP status for a request that could not be read; 0 if the connection ended and no response is due.
unsigned statusForReadError(const boost::system::error_code &error)
{
    if (error == Asio::error::no_memory) {
        return statusUnavailable;
    }
    if (error == BeastHttp::error::body_limit) {
        return statusBodyTooLarge;
    }
    if (error == BeastHttp::error::header_limit || error == BeastHttp::error::buffer_overflow) {
        return statusHeaderTooLarge;
    }
    const bool parseError = error.category() == make_error_code(BeastHttp::error::bad_method).category();
    if (!parseError || error == BeastHttp::error::end_of_stream || error == BeastHttp::error::partial_message) {
        return 0;
    }
    return statusBadRequest;
}

class Connection;

// State shared by a listener and its connections.
struct ListenerState {
    bool closing = false;
    HttpServerLimits limits;
    RequestMemory *requestMemory = nullptr; ///< Null if the bodies of all requests together are not limited.
    std::unordered_set<Connection *> connections;
};

class Connection
{
public:
    Connection(Asio::ip::tcp::socket socket, HttpHandler &handler, std::shared_ptr<ListenerState> state)
        : m_stream(std::move(socket))
        , m_handler(handler)
        , m_state(std::move(state))
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(Asio::ip::tcp::no_delay(true), ignored);
        m_state->connections.insert(this);
    }

    ~Connection()
    {
        m_state->connections.erase(this);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static Asio::awaitable<void> run(std::unique_ptr<Connection> self)
    {
        bool continueServing = true;
        while (continueServing) {
            continueServing = co_await self->serveRequest();
        }
        boost::system::error_code ignored;
        self->m_stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
        if (self->m_answeredEarly || self->m_stream.socket().available(ignored) > 0) {
            co_await self->drain();
        }
    }

    void closeIfIdle()
    {
        if (m_idle) {
            m_stream.cancel();
        }
    }

private:
    // Waits for the first bytes of the next request; false if none arrive.
    Asio::awaitable<bool> awaitRequest()
    {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        boost::system::error_code error;
        bool closing = false;
        do {
            closing = m_state->closing;
            m_stream.expires_after(closing ? Duration(lateRequestTime) : m_state->limits.idleTimeout);
            m_idle = true;
            const auto [readError, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(readAheadBytes), awaitTuple);
            m_idle = false;
            error = readError;
            m_buffer.commit(bytes);
        } while (error == Asio::error::operation_aborted && m_state->closing && !closing);
        co_return !error;
    }

    // Reads what the caller still sends, for a limited time, so that it receives the answer.
    Asio::awaitable<void> drain()
    {
        m_buffer.clear();
        m_stream.expires_after(drainTime);
        const std::size_t maxDrainBytes = std::max<std::size_t>(minDrainBytes, m_state->limits.bodyBytes);
        std::size_t drained = 0;
        boost::system::error_code error;
        while (!error && drained < maxDrainBytes) {
            const auto [readError, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(readAheadBytes), awaitTuple);
            error = readError;
            drained += bytes;
        }
    }

    // Reads and answers one request; false if the connection must be closed.
    Asio::awaitable<bool> serveRequest()
    {
        const bool arrived = co_await awaitRequest();
        if (!arrived) {
            co_return false;
        }
        const HttpServerLimits limits = m_state->limits;
        const TimePoint receivedAt = std::chrono::steady_clock::now();
        m_buffer.max_size(std::max<std::size_t>(maxFramingBytes, limits.headerBytes + readAheadBytes));
        RequestMemory::Share memory(m_state->requestMemory);
        Parser parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        m_stream.expires_after(limits.headerTimeout);
        boost::system::error_code error = std::get<0>(co_await BeastHttp::async_read_header(m_stream, m_buffer, parser, awaitTuple));
        if (!error && !memory.grow(parser.content_length().value_or(0))) {
            error = Asio::error::no_memory;
        }
        if (!error && parser.get()[BeastHttp::field::expect] == "100-continue") {
            error = co_await writeContinue();
        }
        if (!error) {
            m_stream.expires_after(limits.bodyTimeout);
            error = co_await readBody(parser, memory);
        }
        if (error) {
            co_await answerReadError(error, parser);
            co_return false;
        }
        m_stream.expires_never();
        HttpExchange exchange(m_stream, parser.release(), receivedAt);
        co_await m_handler.handle(exchange);
        co_return exchange.keepAlive();
    }

    // The length of a body in chunks is not known before; what it takes is therefore limited while it is read.
    Asio::awaitable<boost::system::error_code> readBody(Parser &parser, RequestMemory::Share &memory)
    {
        parser.eager(true);
        const bool lengthKnown = parser.content_length().has_value();
        boost::system::error_code error;
        while (!error && !parser.is_done()) {
            error = std::get<0>(co_await BeastHttp::async_read_some(m_stream, m_buffer, parser, awaitTuple));
            if (!error && !lengthKnown && !memory.grow(parser.get().body().capacity())) {
                error = Asio::error::no_memory;
            }
        }
        co_return error;
    }

    Asio::awaitable<boost::system::error_code> writeContinue()
    {
        BeastHttp::response<BeastHttp::empty_body> response(BeastHttp::status::continue_, 11);
        co_return std::get<0>(co_await BeastHttp::async_write(m_stream, response, awaitTuple));
    }

    Asio::awaitable<void> answerReadError(const boost::system::error_code &error, Parser &parser)
    {
        const unsigned status = statusForReadError(error);
        if (status == 0) {
            co_return;
        }
        HttpExchange exchange(m_stream, parser.release(), std::chrono::steady_clock::now());
        exchange.disableKeepAlive();
        m_answeredEarly = true;
        co_await m_handler.handleUnreadable(exchange, status);
    }

    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    HttpHandler &m_handler;
    std::shared_ptr<ListenerState> m_state;
    bool m_idle = false;
    bool m_answeredEarly = false; ///< Whether an answer was written before its request was read completely.
};

}

struct HttpListener::Private {
    std::shared_ptr<ListenerState> state = std::make_shared<ListenerState>();
    TcpListener listener;

    Private(Asio::io_context &context, HttpHandler &handler, std::uint64_t maxBodyBytes)
        : listener(context, [this, &context, &handler](Asio::ip::tcp::socket socket) {
            auto connection = std::make_unique<Connection>(std::move(socket), handler, state);
            Asio::co_spawn(context, Connection::run(std::move(connection)), reportErrors);
        })
    {
        state->limits.bodyBytes = maxBodyBytes;
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

void HttpListener::setLimits(const HttpServerLimits &limits)
{
    m_d->state->limits = limits;
}

void HttpListener::setRequestMemory(RequestMemory *memory)
{
    m_d->state->requestMemory = memory;
}

std::size_t HttpListener::connectionCount() const
{
    return m_d->state->connections.size();
}

void HttpListener::close()
{
    m_d->state->closing = true;
    m_d->listener.close();
    for (Connection *connection : m_d->state->connections) {
        connection->closeIfIdle();
    }
}

}
