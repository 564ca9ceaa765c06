#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class ConnectionPoolOptions
 * \brief Timeout for making connections to an upstream and the number that are kept for reuse.
 */
struct ConnectionPoolOptions {
    Duration connectTimeout = std::chrono::seconds(1); ///< Time allowed for making a connection.
    std::size_t maxIdle = 64; ///< Maximum number of idle connections; with 0, every call uses a new connection.
};

/**
 * \class UpstreamConnectionPool
 * \brief Pool of idle connections to one upstream, for reuse on one thread.
 */
class UpstreamConnectionPool
{
public:
    using Stream = std::shared_ptr<boost::beast::tcp_stream>;

    UpstreamConnectionPool(boost::asio::io_context &context, std::string address, std::uint16_t port, const ConnectionPoolOptions &options = {});

    /// Returns an idle connection or a new one; sets \p error if the new connection cannot be made, or not before \p deadline.
    boost::asio::awaitable<Stream> acquire(TimePoint deadline, boost::system::error_code &error);

    /// Returns a connection to the pool; its last response must have been read completely.
    void release(Stream stream);

    /// Closes idle connections, for example after the upstream restarted.
    void clear();

    /// Value of the Host header field: address and port of the upstream.
    std::string hostHeader() const;

private:
    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    ConnectionPoolOptions m_options;
    std::vector<Stream> m_idle;
};

}
