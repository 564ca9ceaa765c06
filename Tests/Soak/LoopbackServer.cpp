#include "Soak/LoopbackServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace Mangofall::Soak {

namespace {

namespace Asio = boost::asio;
using Asio::ip::tcp;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

}

void resetConnection(Socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

LoopbackServer::LoopbackServer(Asio::io_context &io, Handler handler)
    : m_io(io)
    , m_acceptor(io, tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
    , m_handler(std::move(handler))
{
    Asio::co_spawn(io, accept(), Asio::detached);
}

std::uint16_t LoopbackServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void LoopbackServer::resetConnections()
{
    std::vector<std::shared_ptr<Socket>> open;
    for (const auto &[address, connection] : m_connections) {
        if (std::shared_ptr<Socket> socket = connection.lock()) {
            open.push_back(std::move(socket));
        }
    }
    for (const std::shared_ptr<Socket> &socket : open) {
        resetConnection(*socket);
    }
}

void LoopbackServer::setRefusing(bool refusing)
{
    m_refusing = refusing;
}

Asio::awaitable<void> LoopbackServer::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(awaitTuple);
        if (error) {
            co_return;
        }
        auto connection = std::make_shared<Socket>(std::move(socket));
        if (m_refusing) {
            resetConnection(*connection);
            continue;
        }
        connection->set_option(tcp::no_delay(true));
        Asio::co_spawn(m_io, serve(std::move(connection)), Asio::detached);
    }
}

Asio::awaitable<void> LoopbackServer::serve(std::shared_ptr<Socket> socket)
{
    m_connections[socket.get()] = socket;
    co_await m_handler(socket);
    m_connections.erase(socket.get());
}

}
