#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Mangofall::Soak {

using Socket = boost::asio::ip::tcp::socket;

/**
 * \class LoopbackServer
 * \brief Accepts connections on a free port of 127.0.0.1 and runs a handler for each; all connections can be reset at once.
 */
class LoopbackServer
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<Socket>)>;

    LoopbackServer(boost::asio::io_context &io, Handler handler);

    std::uint16_t port() const;

    void resetConnections();
    /// Sets whether new connections are reset as soon as they are accepted.
    void setRefusing(bool refusing);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::map<Socket *, std::weak_ptr<Socket>> m_connections;
    bool m_refusing = false;
};

/// Closes a connection by sending a TCP reset.
void resetConnection(Socket &socket);

}
