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
 * \brief An outgoing connection to one host that is made on first use and made again after a failure.
 *
 * Messages sent while the connection is being made are queued. If it cannot be made within the timeout, they are
 * dropped and the handler's handleClosed() is called with the failed connection, so that senders can react.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(boost::asio::io_context &context,
             std::string address,
             std::uint16_t port,
             std::shared_ptr<const Wire::HelloT> hello,
             PeerMessageHandler &handler,
             PeerConnection::ByteCounter byteCounter,
             PeerConnectionLimits limits = {});

    /// Sends \p message, or queues it and connects if there is no open connection.
    void send(Wire::PeerMessageT &&message);

    /// Closes the current connection; the next call of send() makes a new one.
    void close();

    /// Closes the connection without notifying the handler, and never calls the handler again.
    void closeSilently();

    /// The current or last connection, which may be closed; null until the first attempt to connect has ended.
    const std::shared_ptr<PeerConnection> &connection() const;

private:
    boost::asio::awaitable<void> connect();

    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    std::shared_ptr<const Wire::HelloT> m_hello;
    PeerMessageHandler &m_handler;
    PeerConnection::ByteCounter m_byteCounter;
    PeerConnectionLimits m_limits;
    std::shared_ptr<PeerConnection> m_connection;
    std::vector<Wire::PeerMessageT> m_pendingMessages;
    bool m_connecting = false;
    bool m_closedSilently = false;
};

}
