#include "Peer/TcpListener.h"

#include "Base/AsyncTasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/socket.h>

#include <exception>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

using ReusePort = Asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Delay after a failed accept, for example when the process has no file descriptors left.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

}

struct TcpListener::Acceptor {
    Asio::io_context &context;
    Asio::ip::tcp::acceptor acceptor;
    SocketHandler handler;

    // What the handler throws concerns its connection only; it is reported, and the next connection is accepted.
    void accepted(Asio::ip::tcp::socket socket)
    {
        try {
            handler(std::move(socket));
        } catch (...) {
            Asio::post(context, [error = std::current_exception()]() {
                std::rethrow_exception(error);
            });
        }
    }

    void acceptWaiting()
    {
        boost::system::error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            Asio::ip::tcp::socket socket(context);
            acceptor.accept(socket, error);
            if (!error) {
                accepted(std::move(socket));
            }
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
    }

    static Asio::awaitable<void> acceptConnections(std::shared_ptr<Acceptor> self)
    {
        while (self->acceptor.is_open()) {
            auto [error, socket] = co_await self->acceptor.async_accept(Asio::as_tuple(Asio::use_awaitable));
            if (!error) {
                self->accepted(std::move(socket));
            } else if (self->acceptor.is_open()) {
                Asio::steady_timer timer(self->context, acceptRetryDelay);
                co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            }
        }
    }
};

TcpListener::TcpListener(Asio::io_context &context, SocketHandler handler)
    : m_acceptor(new Acceptor{context, Asio::ip::tcp::acceptor(context), std::move(handler)})
{
}

TcpListener::~TcpListener()
{
    m_acceptor->close();
}

std::error_code TcpListener::listen(const std::string &address, std::uint16_t port, bool sharePort)
{
    boost::system::error_code error;
    const auto ip = Asio::ip::make_address(address, error);
    if (error) {
        return error;
    }
    Asio::ip::tcp::acceptor &acceptor = m_acceptor->acceptor;
    const Asio::ip::tcp::endpoint endpoint(ip, port);
    acceptor.open(endpoint.protocol(), error);
    if (error) {
        return error;
    }
    acceptor.set_option(Asio::socket_base::reuse_address(true), error);
    if (sharePort) {
        acceptor.set_option(ReusePort(true), error);
    }
    acceptor.bind(endpoint, error);
    if (!error) {
        acceptor.listen(Asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        m_acceptor->close();
        return error;
    }
    Asio::co_spawn(m_acceptor->context, Acceptor::acceptConnections(m_acceptor), reportErrors);
    return {};
}

std::uint16_t TcpListener::port() const
{
    boost::system::error_code ignored;
    return m_acceptor->acceptor.local_endpoint(ignored).port();
}

void TcpListener::close()
{
    if (m_acceptor->acceptor.is_open()) {
        m_acceptor->acceptWaiting();
    }
    m_acceptor->close();
}

}
