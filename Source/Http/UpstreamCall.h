#pragma once

#include "Base/Time.h"

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

namespace Mangofall {

class UpstreamConnectionPool;

/**
 * \class UpstreamCall
 * \brief One HTTP call to an upstream whose answer is read piece by piece.
 *
 * After a failure, anyBytesSent() tells whether the upstream may have seen any byte of the call.
 */
class UpstreamCall
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    UpstreamCall(std::shared_ptr<UpstreamConnectionPool> pool, Duration timeout);
    ~UpstreamCall();

    /// Connects (or reuses an idle connection), writes \p request and reads the answer's header. Sets the Host field if \p request has none. An
    /// answer that comes before the whole request is written counts, too.
    boost::asio::awaitable<boost::system::error_code> start(Request request);

    /// Reads more of the body into \p piece; an empty piece without error means that the body is complete.
    boost::asio::awaitable<boost::system::error_code> read(std::string &piece);

    /// Reads the whole body, at most \p limitBytes.
    boost::asio::awaitable<boost::system::error_code> readAll(std::string &body, std::size_t limitBytes);

    /// Bounds each following write or read; the timeout of a read that waits is not changed.
    void setTimeout(Duration timeout);

    unsigned status() const;

    /// The fields of the answer's header.
    const boost::beast::http::fields &fields() const;

    /// Value of an answer header; empty if absent.
    std::string header(std::string_view name) const;

    bool anyBytesSent() const;

    /// Whether the connection could not be made at all.
    bool connectFailed() const;

    /// Breaks off: pending operations end with an error.
    void cancel();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    std::shared_ptr<UpstreamConnectionPool> m_pool;
    Duration m_timeout;
    std::shared_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    bool m_bytesSent = false;
    bool m_connectionRefused = false;
    bool m_cancelled = false;
};

}
