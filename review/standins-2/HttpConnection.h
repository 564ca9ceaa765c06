#pragma once

#include "Socket.h"

#include <map>
#include <optional>
#include <string>

namespace Review {

/// The head of a request or an answer. The names of fields are in lower case.
struct HttpHead {
    std::string startLine;
    std::map<std::string, std::string> fields;

    /// Empty if there is no such field.
    std::string field(const std::string &name) const;
    /// Of a request.
    std::string method() const;
    std::string target() const;
    /// Of an answer; 0 if there is none.
    int status() const;
};

enum class BodyEnd {
    Complete,
    BrokenOff,
};

/**
 * \class HttpConnection
 * \brief Reads HTTP messages from a socket and writes to it.
 */
class HttpConnection
{
public:
    explicit HttpConnection(Socket socket);

    Socket &socket();

    /// Empty if the connection ends first.
    std::optional<HttpHead> readHead();
    /// Appends the body to \p body as it arrives.
    BodyEnd readBody(const HttpHead &head, std::string &body);
    /// Reads a body that has a length and drops it, at most \p bytesPerSecond if that is not 0.
    BodyEnd skipBody(const HttpHead &head, std::size_t bytesPerSecond);

private:
    /// Reads more bytes into the buffer; false at the end of the connection.
    bool fill();
    bool readLine(std::string &line);
    /// Appends \p count bytes to \p body, if that is not null.
    bool readBytes(std::size_t count, std::string *body, std::size_t bytesPerSecond);
    BodyEnd readChunks(std::string &body);

    Socket m_socket;
    std::string m_buffer;
};

}
