#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Store/HttpCallResult.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace Mangofall {

/**
 * \class HttpConnectionPool
 * \brief Makes HTTP calls to one server over reused connections. Not thread-safe: only one thread may run the io_context.
 *
 * ResponseCompleteness decides what is a complete response; a call whose request cannot be written to its end has none. A call without a response closes
 * the idle connections too, because existing connections can stall permanently or be reset while new ones work.
 */
class HttpConnectionPool
{
public:
    /// How long a call may take.
    struct Timeout {
        Duration total; ///< For the whole call.
        Duration silence; ///< Without any byte of the response; limits large responses less than short ones.
    };

    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// \p context must outlive the pool, and the pool must outlive its calls.
    HttpConnectionPool(boost::asio::io_context &context, NetworkAddress server);

    /// Sends \p request and waits for the response. An \p idempotent request that gets no response on a reused connection, for example because the
    /// server has closed it, is sent once more on a new connection if \p timeout has not passed.
    boost::asio::awaitable<HttpCallResult> call(Request request, Duration timeout, bool idempotent);
    boost::asio::awaitable<HttpCallResult> call(Request request, Timeout timeout, bool idempotent);

private:
    using Stream = boost::beast::tcp_stream;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// When a call ends, whether it has got a response or not.
    struct Limit {
        TimePoint deadline;
        Duration silence;

        /// The time until which the next byte may arrive.
        TimePoint next() const;
    };

    /// What was read after a request.
    struct ReadResult {
        boost::system::error_code error;
        std::optional<Response> response; ///< Set if there was no error.
        bool allowsReuse = false;
    };

    boost::asio::awaitable<std::unique_ptr<Stream>> connect(Limit limit);
    static boost::asio::awaitable<ReadResult> readResponse(Stream &stream, Limit limit);
    boost::asio::awaitable<HttpCallResult> exchange(std::unique_ptr<Stream> stream, Request &request, Limit limit);

    boost::asio::io_context &m_context;
    NetworkAddress m_server;
    std::vector<std::unique_ptr<Stream>> m_idleConnections;
};

}
