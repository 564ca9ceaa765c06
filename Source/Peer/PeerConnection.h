#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

class PeerMessageHandler;

/**
 * \class PeerConnection
 * \brief A TCP connection to another host that reads frames and writes queued frames in batches.
 *
 * All member functions must be called on the thread of the socket's executor.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// Called with the number of bytes of each completed write.
    using ByteCounter = std::function<void(std::size_t)>;

    PeerConnection(boost::asio::ip::tcp::socket socket, ByteCounter byteCounter);

    /// Starts reading and passes each message to \p handler, which must outlive the connection unless closeSilently() is called first.
    void start(PeerMessageHandler &handler);

    /// Queues \p message for writing. If the peer does not read and the queue exceeds its limit, the connection is closed.
    void send(const Wire::PeerMessageT &message);

    /// Closes the socket and notifies the handler, once.
    void close();

    /// Closes the socket without notifying the handler, which may be destroyed afterwards.
    void closeSilently();

    bool isOpen() const;

private:
    boost::asio::awaitable<void> readFrames();
    boost::asio::awaitable<void> writeQueue();

    boost::asio::ip::tcp::socket m_socket;
    ByteCounter m_byteCounter;
    PeerMessageHandler *m_handler = nullptr;
    std::vector<std::uint8_t> m_queue;
    bool m_writing = false;
    bool m_closed = false;
};

}
