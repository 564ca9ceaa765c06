#pragma once

#include "Peer/PeerConnection.h"

#include "Base/Time.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace Mangofall::Wire {
struct HelloT;
}

namespace Mangofall {

/**
 * \class PeerLink
 * \brief An outgoing connection to one daemon that connects when first used and again after it failed.
 *
 * Messages sent while the connection is being made are queued; if it cannot be made within the timeout they are
 * dropped and the handler's handleClosed() is called with the failed connection, so that senders can act.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(boost::asio::io_context &context,
             std::string address,
             std::uint16_t port,
             std::shared_ptr<const Wire::HelloT> hello,
             PeerMessageHandler &handler,
             PeerConnection::ByteCounter byteCounter);

    void send(Wire::PeerMessageT &&message);

    /// Closes the current connection; the next send() makes a new one.
    void close();

    /// Closes the connection and calls the handler no more.
    void closeSilently();

    /// The current connection; null before the first send() and after a failure.
    const std::shared_ptr<PeerConnection> &connection() const;

private:
    boost::asio::awaitable<void> connect();

    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    std::shared_ptr<const Wire::HelloT> m_hello;
    PeerMessageHandler &m_handler;
    PeerConnection::ByteCounter m_byteCounter;
    std::shared_ptr<PeerConnection> m_connection;
    std::vector<Wire::PeerMessageT> m_waiting;
    bool m_connecting = false;
    bool m_abandoned = false;
};

}
