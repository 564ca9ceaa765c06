#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

/**
 * \class Socket
 * \brief A TCP socket that is closed at the end of its life. Calls block, at most until the receive timeout.
 */
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    ~Socket();

    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// An invalid socket if the connection fails.
    static Socket connectTo(const Address &address, Milliseconds timeout);
    /// Listens at \p address; port 0 chooses a free one. Invalid if that is not possible. With 0 for \p receiveBuffer the system chooses its size.
    static Socket listenAt(const Address &address, int receiveBuffer = 0);

    bool valid() const;
    std::uint16_t localPort() const;
    Socket accept() const;
    void setReceiveTimeout(Milliseconds timeout);
    bool sendAll(std::string_view bytes);
    /// The number of bytes that were received; 0 at the end of the connection, negative after an error or the timeout.
    std::ptrdiff_t receive(char *data, std::size_t size);
    /// Whether the peer has closed or reset the connection.
    bool peerHasClosed() const;
    /// Ends calls that other threads are blocked in.
    void shutdown();
    void close();

private:
    int m_descriptor = -1;
};

}
