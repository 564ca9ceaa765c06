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

/// Bounds of the memory that one peer connection may take.
struct PeerConnectionLimits {
    std::size_t maxFrameBytes = 64UL * 1024 * 1024; ///< A prompt of a million tokens takes several megabytes.
    std::size_t maxQueuedBytes = 256UL * 1024 * 1024; ///< The connection of a peer that does not read is closed once more bytes than this are queued.
};

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

    PeerConnection(boost::asio::ip::tcp::socket socket, ByteCounter byteCounter, PeerConnectionLimits limits = {});

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
    /// Decodes a frame and passes the message to the handler; returns whether the frame was valid.
    bool deliver(const std::vector<std::uint8_t> &payload);
    void reportInvalidFrame();
    boost::asio::awaitable<void> writeQueue();

    boost::asio::ip::tcp::socket m_socket;
    ByteCounter m_byteCounter;
    PeerConnectionLimits m_limits;
    PeerMessageHandler *m_handler = nullptr;
    std::vector<std::uint8_t> m_queue;
    bool m_writing = false;
    bool m_closed = false;
};

}
