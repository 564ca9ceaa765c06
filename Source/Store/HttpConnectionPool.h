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
#include <vector>

namespace Mangofall {

/**
 * \class HttpConnectionPool
 * \brief HTTP calls to one server over reused connections; for one thread.
 *
 * A timeout closes the idle connections too: connections may stop carrying traffic for good while new ones work.
 */
class HttpConnectionPool
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// \p context must outlive the pool, and the pool its calls.
    HttpConnectionPool(boost::asio::io_context &context, NetworkAddress server);

    /// Sends \p request. If a reused connection turns out to be closed, an \p idempotent request is sent once more on a new one.
    boost::asio::awaitable<HttpCallResult> call(Request request, Duration timeout, bool idempotent);

private:
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<std::unique_ptr<Stream>> connect(TimePoint deadline);
    boost::asio::awaitable<HttpCallResult> exchange(std::unique_ptr<Stream> stream, Request &request, TimePoint deadline);

    boost::asio::io_context &m_context;
    NetworkAddress m_server;
    std::vector<std::unique_ptr<Stream>> m_idleConnections;
};

}
