#include "Http/UpstreamConnectionPool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

// An idle connection has nothing to read. End of file means that the upstream closed it; unexpected data makes it unusable, too.
bool isUsable(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

UpstreamConnectionPool::UpstreamConnectionPool(Asio::io_context &context, std::string address, std::uint16_t port, const ConnectionPoolOptions &options)
    : m_context(context)
    , m_address(std::move(address))
    , m_port(port)
    , m_options(options)
{
}

Asio::awaitable<UpstreamConnectionPool::Stream> UpstreamConnectionPool::acquire(TimePoint deadline, boost::system::error_code &error)
{
    while (!m_idle.empty()) {
        Stream stream = std::move(m_idle.back());
        m_idle.pop_back();
        if (isUsable(stream->socket().native_handle())) {
            co_return stream;
        }
    }
    auto stream = std::make_shared<boost::beast::tcp_stream>(m_context);
    const auto address = Asio::ip::make_address(m_address, error);
    if (!error) {
        stream->expires_at(std::min(deadline, std::chrono::steady_clock::now() + m_options.connectTimeout));
        const auto [connectError] = co_await stream->async_connect({address, m_port}, Asio::as_tuple(Asio::use_awaitable));
        error = connectError;
    }
    if (!error) {
        stream->socket().set_option(Asio::ip::tcp::no_delay(true), error);
    }
    co_return stream;
}

void UpstreamConnectionPool::release(Stream stream)
{
    if (m_idle.size() < m_options.maxIdle) {
        stream->expires_never();
        m_idle.push_back(std::move(stream));
    }
}

void UpstreamConnectionPool::clear()
{
    m_idle.clear();
}

std::string UpstreamConnectionPool::hostHeader() const
{
    return m_address + ":" + std::to_string(m_port);
}

}
