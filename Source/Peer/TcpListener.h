#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace Mangofall {

/**
 * \class TcpListener
 * \brief Accepts TCP connections and passes each socket to a handler until the listener is closed or destroyed.
 */
class TcpListener
{
public:
    using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    TcpListener(boost::asio::io_context &context, SocketHandler handler);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Binds the port and starts to accept connections. \p sharePort lets several listeners, one per thread, share the port. May be called again after a
    /// failure.
    std::error_code listen(const std::string &address, std::uint16_t port, bool sharePort);

    /// The bound port; differs from the argument of listen() if that was 0.
    std::uint16_t port() const;

    /// Passes the connections that wait to be accepted to the handler, because the system would reset them, and then stops listening.
    void close();

private:
    struct Acceptor;

    // Shared with the accepting coroutine, which may outlive this object until its pending accept is cancelled.
    std::shared_ptr<Acceptor> m_acceptor;
};

}
