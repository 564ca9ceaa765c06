#pragma once

#include "Base/Time.h"
#include "Http/ResponseCompleteness.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Mangofall {

class UpstreamConnectionPool;

/**
 * \class UpstreamCall
 * \brief One HTTP call to an upstream; the body of the response is read incrementally.
 *
 * The call ends at its deadline, whatever has arrived by then. What arrives outside of the body (status line, header, chunk sizes, trailers) is limited in
 * size, so that an upstream that never completes it cannot fill the memory. ResponseCompleteness decides what is a complete response. After a failure,
 * anyBytesSent() tells whether the upstream may have received any byte of the request.
 */
class UpstreamCall
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// The largest chunk size line or trailer section that is accepted.
    static constexpr std::size_t maxFramingBytes = 64UL * 1024;

    /// All operations of the call together, from the connection to the last byte, end at \p deadline.
    UpstreamCall(std::shared_ptr<UpstreamConnectionPool> pool, TimePoint deadline);
    ~UpstreamCall();

    /// Makes the call fail within seconds if the upstream's machine or the way to it is gone, instead of at the deadline. Takes effect at start().
    void detectUnreachableUpstream();

    /// Connects or reuses an idle connection, writes \p request and reads the header of the final response. Sets the Host field if \p request has none. A
    /// response that arrives before the whole request is written is accepted, too.
    boost::asio::awaitable<boost::system::error_code> start(Request request);
    /// The same with \p body in place of the request's own, which is not copied; it must stay unchanged until the call returns.
    boost::asio::awaitable<boost::system::error_code> start(Request request, std::string_view body);

    /// Reads the next part of the body into \p bodyPart; an empty \p bodyPart without error means that the response is complete.
    boost::asio::awaitable<boost::system::error_code> read(std::string &bodyPart);

    /// Appends the whole body to \p body; fails with body_limit if the body with its framing exceeds \p limitBytes.
    boost::asio::awaitable<boost::system::error_code> readAll(std::string &body, std::size_t limitBytes);

    /// Bytes of the body that were received, with the framing of its chunks.
    std::size_t receivedBytes() const;

    /// HTTP status of the response; 0 before the request is written.
    unsigned status() const;

    /// Header fields of the response.
    const boost::beast::http::fields &fields() const;

    /// Value of a response header field; empty if absent.
    std::string header(std::string_view name) const;

    /// Whether the upstream may have received any byte of the request.
    bool anyBytesSent() const;

    /// Whether no connection could be made.
    bool connectFailed() const;

    /// Closes the connection; pending operations end with an error.
    void cancel();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<boost::system::error_code> readFinalHeader();
    bool canReuseConnection() const;

    std::shared_ptr<UpstreamConnectionPool> m_pool;
    TimePoint m_deadline;
    std::shared_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer{maxFramingBytes};
    std::size_t m_receivedBytes = 0;
    std::unique_ptr<Parser> m_parser;
    ResponseCompleteness m_completeness;
    bool m_detectsUnreachable = false;
    bool m_anyBytesSent = false;
    bool m_connectFailed = false;
    bool m_cancelled = false;
};

}
