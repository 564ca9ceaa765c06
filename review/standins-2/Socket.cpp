#include "Socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Review {

namespace {

constexpr int backlog = 1024;

sockaddr_in systemAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

void setOption(int descriptor, int level, int name, int value)
{
    ::setsockopt(descriptor, level, name, &value, sizeof value);
}

bool connectWithin(int descriptor, const sockaddr_in &address, Milliseconds timeout)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd poll{descriptor, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&poll, 1, static_cast<int>(timeout.count())) == 1) {
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        result = error == 0 ? 0 : -1;
    }
    ::fcntl(descriptor, F_SETFL, flags);
    return result == 0;
}

}

std::string Address::text() const
{
    return ip + ":" + std::to_string(port);
}

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

Socket Socket::connectTo(const Address &address, Milliseconds timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!socket.valid() || !connectWithin(socket.m_descriptor, systemAddress(address), timeout)) {
        return {};
    }
    setOption(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    return socket;
}

Socket Socket::listenAt(const Address &address, int receiveBuffer)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return {};
    }
    setOption(socket.m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (receiveBuffer > 0) {
        setOption(socket.m_descriptor, SOL_SOCKET, SO_RCVBUF, receiveBuffer);
    }
    const sockaddr_in system = systemAddress(address);
    const bool bound = ::bind(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&system), sizeof system) == 0;
    if (!bound || ::listen(socket.m_descriptor, backlog) != 0) {
        return {};
    }
    return socket;
}

bool Socket::valid() const
{
    return m_descriptor >= 0;
}

std::uint16_t Socket::localPort() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

Socket Socket::accept() const
{
    Socket socket(::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.valid()) {
        setOption(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return socket;
}

void Socket::setReceiveTimeout(Milliseconds timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timeval value{};
    value.tv_sec = seconds.count();
    value.tv_usec = std::chrono::duration_cast<std::chrono::microseconds>(timeout - seconds).count();
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool Socket::sendAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::ptrdiff_t Socket::receive(char *data, std::size_t size)
{
    ssize_t count = -1;
    do {
        count = ::recv(m_descriptor, data, size, 0);
    } while (count < 0 && errno == EINTR);
    return count;
}

bool Socket::peerHasClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Socket::shutdown()
{
    if (valid()) {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }
}

void Socket::close()
{
    if (valid()) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

}
