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
 * \brief One TCP connection to another daemon: reads frames and writes queued frames in batches.
 *
 * All calls are made on the thread of the socket's executor.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// Called with the number of bytes of each completed write.
    using ByteCounter = std::function<void(std::size_t)>;

    PeerConnection(boost::asio::ip::tcp::socket socket, ByteCounter byteCounter);

    /// Starts reading; \p handler must outlive the connection.
    void start(PeerMessageHandler &handler);

    /// Queues \p message. A peer that does not read closes the connection once the queue exceeds its limit.
    void send(const Wire::PeerMessageT &message);

    /// Closes the socket; the handler is told once.
    void close();

    /// Closes the socket without telling the handler, which may be destroyed afterwards.
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
