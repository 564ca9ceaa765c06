#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace Mangofall {

class HttpHandler;
struct HttpServerLimits;

/**
 * \class HttpListener
 * \brief Accepts HTTP/1.1 connections on one thread and reads their requests within size and time limits.
 */
class HttpListener
{
public:
    /// \p maxBodyBytes bounds a request's body; \p handler must outlive the listener's connections.
    HttpListener(boost::asio::io_context &context, HttpHandler &handler, std::uint64_t maxBodyBytes);
    ~HttpListener();

    /// Listeners of several threads share the port.
    std::error_code listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const;

    /// Applies to requests whose reading starts later.
    void setLimits(const HttpServerLimits &limits);

    /// Accepts no further connections; those that are idle close, exchanges in progress finish.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
