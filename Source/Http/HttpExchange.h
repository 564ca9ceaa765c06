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

/// Additional header fields of a response, as pairs of name and value.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/**
 * \class HttpExchange
 * \brief One HTTP request of a caller and its response, written at once or in chunks.
 *
 * Every write has a timeout, so that a caller who stops reading cannot keep the session open indefinitely.
 */
class HttpExchange
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    HttpExchange(boost::beast::tcp_stream &stream, Request request, TimePoint receivedAt);

    const Request &request() const;
    Request &request();

    /// Time at which the first bytes of the request were read.
    TimePoint receivedAt() const;

    /// Value of a request header field; empty if absent.
    std::string_view header(std::string_view name) const;

    /// Writes a complete response; false if the caller is gone. An empty \p contentType adds no Content-Type field.
    boost::asio::awaitable<bool> respond(unsigned status, std::string contentType, std::string body, HeaderFields fields = {});

    /// Starts a chunked response; false if the caller is gone.
    boost::asio::awaitable<bool> startStream(unsigned status, std::string contentType, HeaderFields fields = {});

    /// Writes one chunk of a started response; false if the caller is gone. Empty \p data writes nothing.
    boost::asio::awaitable<bool> writeChunk(std::string_view data);

    /// Writes the last chunk; false if the caller is gone.
    boost::asio::awaitable<bool> finishStream();

    /// Aborts a started response by closing the connection, so that the caller notices that it is incomplete.
    void abortStream();

    /// Whether the response was started; its status can then no longer change.
    bool started() const;

    /// Whether the connection can carry another request.
    bool keepAlive() const;

    /// Closes the connection after this exchange, so that the caller does not take an aborted response for a complete one.
    void disableKeepAlive();

    /// Calls \p handler once if the caller closes the connection while the response is being prepared.
    void watchForClose(std::function<void()> handler);

private:
    boost::beast::tcp_stream &m_stream;
    Request m_request;
    TimePoint m_receivedAt;
    bool m_started = false;
    bool m_keepAlive = true;
};

}
