#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/**
 * \class Descriptor
 * \brief Owns a file descriptor.
 */
class Descriptor
{
public:
    explicit Descriptor(int number = -1);
    ~Descriptor();

    Descriptor(Descriptor &&other) noexcept;
    Descriptor &operator=(Descriptor &&other) noexcept;
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    int number() const;
    void close();

private:
    int m_number;
};

/// Header field names are in lower case.
using Fields = std::map<std::string, std::string>;

struct Message {
    std::string startLine; ///< Request line or status line.
    Fields fields;
    std::string body;
};

std::string field(const Message &message, const std::string &name);
std::uint64_t numberOf(const std::string &text);

/**
 * \class Connection
 * \brief A blocking TCP connection that carries HTTP/1.1 messages.
 */
class Connection
{
public:
    explicit Connection(Descriptor socket);

    /// Connects to a loopback address; null if that fails.
    static std::unique_ptr<Connection> open(const std::string &address, std::uint16_t port);

    /// Reads start line and header; nothing if the connection ends before.
    std::optional<Message> readHead();
    /// Reads a message with its body, which has a length or is chunked.
    std::optional<Message> readMessage();
    /// Reads one chunk of a chunked body; empty at its last chunk, nothing if the connection ends before.
    std::optional<std::string> readChunk();

    bool write(std::string_view bytes);
    /// The next bytes as they come; empty if the connection has ended.
    std::string readSome();
    void setReadTimeout(Milliseconds time);
    /// Ends the connection; a blocked read or write returns.
    void shutDown();
    /// Resets the connection at once; a blocked read or write returns.
    void reset();
    /// Whether the peer has closed the connection.
    bool peerHasClosed() const;

private:
    bool fill();
    std::optional<std::string> readLine();
    std::optional<std::string> readBytes(std::size_t count);

    Descriptor m_socket;
    std::string m_buffer;
};

/**
 * \class Listener
 * \brief A listening socket on a loopback address.
 */
class Listener
{
public:
    /// Port 0 takes a free one. Throws std::runtime_error if the port cannot be had.
    explicit Listener(const std::string &address, std::uint16_t port = 0);

    std::uint16_t port() const;
    /// The next connection; null after close().
    std::unique_ptr<Connection> accept();
    void close();

private:
    Descriptor m_socket;
    std::uint16_t m_port = 0;
};

/// A port that is free at the address now.
std::uint16_t freePort(const std::string &address);

std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text);
std::string chunk(std::string_view data);

}
