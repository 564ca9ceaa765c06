#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace Mangofall {

class HttpHandler;
class RequestMemory;
struct HttpServerLimits;

/**
 * \class HttpListener
 * \brief Accepts HTTP/1.1 connections on one thread and reads their requests within size and time limits.
 */
class HttpListener
{
public:
    /// \p maxBodyBytes limits the size of a request's body. \p handler must outlive the listener's connections.
    HttpListener(boost::asio::io_context &context, HttpHandler &handler, std::uint64_t maxBodyBytes);
    ~HttpListener();

    /// Listens on \p address and \p port; the listeners of several threads share the port.
    std::error_code listen(const std::string &address, std::uint16_t port);

    /// Port on which the listener listens.
    std::uint16_t port() const;

    /// Sets limits for requests whose reading has not started.
    void setLimits(const HttpServerLimits &limits);

    /// Sets what limits the bodies of all requests together; without it there is no such limit. \p memory must outlive the listener's connections.
    void setRequestMemory(RequestMemory *memory);

    /// Stops accepting connections and closes idle ones; exchanges in progress are completed. Connections that wait to be accepted, and requests that arrive at
    /// idle ones at this moment, are served first.
    void close();

    std::size_t connectionCount() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
