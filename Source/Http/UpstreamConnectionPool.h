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
 * \brief How connections to an upstream are made and kept.
 */
struct ConnectionPoolOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    std::size_t maxIdle = 64; ///< 0: every call has a connection of its own.
};

/**
 * \class UpstreamConnectionPool
 * \brief Idle connections to one upstream, for reuse on one thread.
 */
class UpstreamConnectionPool
{
public:
    using Stream = std::shared_ptr<boost::beast::tcp_stream>;

    UpstreamConnectionPool(boost::asio::io_context &context, std::string address, std::uint16_t port, const ConnectionPoolOptions &reuse = {});

    /// An idle connection, or a new one; sets \p error if none can be made.
    boost::asio::awaitable<Stream> acquire(boost::system::error_code &error);

    /// Gives back a connection whose answer was read completely.
    void release(Stream stream);

    /// Closes idle connections, for example after the upstream restarted.
    void clear();

    std::string hostHeader() const;

private:
    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    ConnectionPoolOptions m_reuse;
    std::vector<Stream> m_idle;
};

}
