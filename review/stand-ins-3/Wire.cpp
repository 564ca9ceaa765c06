#include "Wire.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace Review {

namespace {

constexpr std::size_t readBytesAtOnce = 64UL * 1024;
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

std::string trimmed(std::string_view text)
{
    const std::size_t begin = std::min(text.find_first_not_of(" \t"), text.size());
    const std::size_t end = text.find_last_not_of(" \t\r");
    return std::string(text.substr(begin, end == std::string_view::npos ? 0 : end + 1 - begin));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

}

Descriptor::Descriptor(int number)
    : m_number(number)
{
}

Descriptor::~Descriptor()
{
    close();
}

Descriptor::Descriptor(Descriptor &&other) noexcept
    : m_number(std::exchange(other.m_number, -1))
{
}

Descriptor &Descriptor::operator=(Descriptor &&other) noexcept
{
    if (this != &other) {
        close();
        m_number = std::exchange(other.m_number, -1);
    }
    return *this;
}

int Descriptor::number() const
{
    return m_number;
}

void Descriptor::close()
{
    if (m_number >= 0) {
        ::close(std::exchange(m_number, -1));
    }
}

std::string field(const Message &message, const std::string &name)
{
    const auto position = message.fields.find(name);
    return position == message.fields.end() ? std::string() : position->second;
}

std::uint64_t numberOf(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

Connection::Connection(Descriptor socket)
    : m_socket(std::move(socket))
{
    const int one = 1;
    ::setsockopt(m_socket.number(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

std::unique_ptr<Connection> Connection::open(const std::string &address, std::uint16_t port)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in target = socketAddress(address, port);
    if (::connect(socket.number(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        return nullptr;
    }
    return std::make_unique<Connection>(std::move(socket));
}

std::optional<Message> Connection::readHead()
{
    Message message;
    std::optional<std::string> line = readLine();
    if (!line) {
        return std::nullopt;
    }
    message.startLine = trimmed(*line);
    while ((line = readLine())) {
        const std::string text = trimmed(*line);
        if (text.empty()) {
            return message;
        }
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            message.fields[lowerCase(text.substr(0, colon))] = trimmed(std::string_view(text).substr(colon + 1));
        }
    }
    return std::nullopt;
}

std::optional<Message> Connection::readMessage()
{
    std::optional<Message> message = readHead();
    if (!message) {
        return std::nullopt;
    }
    if (lowerCase(field(*message, "transfer-encoding")) == "chunked") {
        std::optional<std::string> part;
        while ((part = readChunk()) && !part->empty()) {
            message->body += *part;
        }
        return part ? message : std::nullopt;
    }
    const std::optional<std::string> body = readBytes(numberOf(field(*message, "content-length")));
    if (!body) {
        return std::nullopt;
    }
    message->body = *body;
    return message;
}

std::optional<std::string> Connection::readChunk()
{
    const std::optional<std::string> size = readLine();
    if (!size) {
        return std::nullopt;
    }
    const std::size_t length = std::strtoull(size->c_str(), nullptr, 16);
    std::optional<std::string> data = readBytes(length);
    const std::optional<std::string> end = readLine();
    return data && end ? data : std::nullopt;
}

std::string Connection::readSome()
{
    if (m_buffer.empty() && !fill()) {
        return {};
    }
    return std::exchange(m_buffer, {});
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void Connection::setReadTimeout(Milliseconds time)
{
    const timeval value{time.count() / 1000, (time.count() % 1000) * 1000};
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Connection::shutDown()
{
    ::shutdown(m_socket.number(), SHUT_RDWR);
}

// Linux resets a connection that is connected to no address.
void Connection::reset()
{
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(m_socket.number(), &none, sizeof(none));
}

bool Connection::peerHasClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::fill()
{
    std::array<char, readBytesAtOnce> data;
    const ssize_t count = ::recv(m_socket.number(), data.data(), data.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(data.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    std::size_t searched = 0;
    while (true) {
        const std::size_t end = m_buffer.find('\n', searched);
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            return line;
        }
        searched = m_buffer.size();
        if (!fill()) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> Connection::readBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

Listener::Listener(const std::string &address, std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in own = socketAddress(address, port);
    socklen_t size = sizeof(own);
    if (::bind(m_socket.number(), reinterpret_cast<const sockaddr *>(&own), size) != 0 || ::listen(m_socket.number(), SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen at " + address);
    }
    ::getsockname(m_socket.number(), reinterpret_cast<sockaddr *>(&own), &size);
    m_port = ntohs(own.sin_port);
}

std::uint16_t Listener::port() const
{
    return m_port;
}

std::unique_ptr<Connection> Listener::accept()
{
    while (true) {
        Descriptor socket(::accept4(m_socket.number(), nullptr, nullptr, SOCK_CLOEXEC));
        if (socket.number() >= 0) {
            return std::make_unique<Connection>(std::move(socket));
        }
        if (errno != EINTR && errno != ECONNABORTED) {
            return nullptr;
        }
    }
}

void Listener::close()
{
    ::shutdown(m_socket.number(), SHUT_RDWR);
}

std::uint16_t freePort(const std::string &address)
{
    const Listener listener(address);
    return listener.port();
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const bool present = index + offset < bytes.size();
            group = group << 8U | (present ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (unsigned part = 0; part < 4; ++part) {
            const bool present = index + part <= bytes.size();
            text += present ? digits[group >> (18U - 6U * part) & 63U] : '=';
        }
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const std::size_t value = digits.find(character);
        if (value == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

std::string chunk(std::string_view data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + std::string(data) + "\r\n";
}

}
