#include "Peer/PeerLink.h"

#include "Base/AsyncTasks.h"
#include "Base/ScopeGuard.h"
#include "Peer/PeerMessageHandler.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds connectTimeout{1000};

}

PeerLink::PeerLink(Asio::io_context &context,
                   std::string address,
                   std::uint16_t port,
                   std::shared_ptr<const Wire::HelloT> hello,
                   PeerMessageHandler &handler,
                   PeerConnection::ByteCounter byteCounter,
                   PeerConnectionLimits limits)
    : m_context(context)
    , m_address(std::move(address))
    , m_port(port)
    , m_hello(std::move(hello))
    , m_handler(handler)
    , m_byteCounter(std::move(byteCounter))
    , m_limits(limits)
{
}

void PeerLink::send(Wire::PeerMessageT &&message)
{
    if (m_connection && m_connection->isOpen()) {
        m_connection->send(message);
        return;
    }
    m_pendingMessages.push_back(std::move(message));
    if (!m_connecting) {
        m_connecting = true;
        Asio::co_spawn(
            m_context,
            [self = shared_from_this()]() {
                return self->connect();
            },
            reportErrors);
    }
}

void PeerLink::close()
{
    if (m_connection) {
        m_connection->close();
    }
}

void PeerLink::closeSilently()
{
    m_closedSilently = true;
    if (m_connection) {
        m_connection->closeSilently();
    }
}

const std::shared_ptr<PeerConnection> &PeerLink::connection() const
{
    return m_connection;
}

Asio::awaitable<void> PeerLink::connect()
{
    const auto self = shared_from_this();
    const ScopeGuard ended([&self]() {
        self->m_connecting = false;
    });
    auto socket = std::make_shared<Asio::ip::tcp::socket>(m_context);
    boost::system::error_code error;
    const auto address = Asio::ip::make_address(m_address, error);
    if (!error) {
        Asio::steady_timer timer(m_context, connectTimeout);
        timer.async_wait([socket](const boost::system::error_code &timerError) {
            if (!timerError) {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
        const auto [connectError] = co_await socket->async_connect({address, m_port}, Asio::as_tuple(Asio::use_awaitable));
        error = connectError;
    }
    m_connecting = false;
    if (m_closedSilently) {
        co_return;
    }
    std::vector<Wire::PeerMessageT> pendingMessages;
    pendingMessages.swap(m_pendingMessages);
    m_connection = std::make_shared<PeerConnection>(std::move(*socket), m_byteCounter, m_limits);
    m_connection->start(m_handler);
    if (error) {
        m_connection->close();
        co_return;
    }
    Wire::PeerMessageT hello;
    hello.body.Set(Wire::HelloT(*m_hello));
    m_connection->send(hello);
    for (const Wire::PeerMessageT &message : pendingMessages) {
        m_connection->send(message);
    }
}

}
