#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Mangofall {

/// Additional header fields of an answer.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/**
 * \class HttpExchange
 * \brief One request of a caller and the way to answer it, whole or in chunks.
 *
 * Every write has a timeout, so that a caller who stops reading cannot hold the session for ever.
 */
class HttpExchange
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    HttpExchange(boost::beast::tcp_stream &stream, Request request, TimePoint receivedAt);

    const Request &request() const;
    Request &request();

    /// When the first bytes of the request were read.
    TimePoint receivedAt() const;

    /// Value of a request header; empty if absent.
    std::string_view header(std::string_view name) const;

    /// Writes a whole answer; false if the caller is gone. An empty \p contentType adds no such field.
    boost::asio::awaitable<bool> respond(unsigned status, std::string contentType, std::string body, HeaderFields fields = {});

    /// Starts a chunked answer; false if the caller is gone.
    boost::asio::awaitable<bool> startStream(unsigned status, std::string contentType, HeaderFields fields = {});

    /// Writes one chunk of a started stream; false if the caller is gone.
    boost::asio::awaitable<bool> writeChunk(std::string_view data);

    /// Writes the last chunk.
    boost::asio::awaitable<bool> finishStream();

    /// Breaks off a started stream by closing the connection, so that the caller sees that the answer is not complete.
    void abortStream();

    /// Whether an answer was started; an error can then no longer change the status.
    bool started() const;

    /// Whether the connection can carry another request.
    bool keepAlive() const;

    /// Ends the connection after this exchange, so that a broken stream is not taken for a complete one.
    void disableKeepAlive();

    /// Calls \p handler once if the caller closes the connection while an answer is prepared.
    void watchForClose(std::function<void()> handler);

private:
    boost::beast::tcp_stream &m_stream;
    Request m_request;
    TimePoint m_receivedAt;
    bool m_started = false;
    bool m_keepAlive = true;
};

}
