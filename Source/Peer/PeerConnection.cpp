#include "Peer/PeerConnection.h"

#include "Base/AsyncTasks.h"
#include "Base/ScopeGuard.h"
#include "Peer/PeerCodec.h"
#include "Peer/PeerMessageHandler.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <exception>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

constexpr auto awaitTuple = Asio::as_tuple(Asio::use_awaitable);

}

PeerConnection::PeerConnection(Asio::ip::tcp::socket socket, ByteCounter byteCounter, PeerConnectionLimits limits)
    : m_socket(std::move(socket))
    , m_byteCounter(std::move(byteCounter))
    , m_limits(limits)
{
    boost::system::error_code ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
}

void PeerConnection::start(PeerMessageHandler &handler)
{
    m_handler = &handler;
    Asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this()]() {
            return self->readFrames();
        },
        reportErrors);
}

void PeerConnection::send(const Wire::PeerMessageT &message)
{
    if (m_closed) {
        return;
    }
    appendFrame(m_queue, message);
    if (m_queue.size() > m_limits.maxQueuedBytes) {
        close();
        return;
    }
    if (!m_writing) {
        m_writing = true;
        Asio::co_spawn(
            m_socket.get_executor(),
            [self = shared_from_this()]() {
                return self->writeQueue();
            },
            reportErrors);
    }
}

void PeerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_handler != nullptr) {
        m_handler->handleClosed(shared_from_this());
    }
}

void PeerConnection::closeSilently()
{
    m_handler = nullptr;
    close();
}

bool PeerConnection::isOpen() const
{
    return !m_closed;
}

Asio::awaitable<void> PeerConnection::readFrames()
{
    const auto self = shared_from_this();
    std::exception_ptr failure;
    std::array<std::uint8_t, frameHeaderBytes> header{};
    std::vector<std::uint8_t> payload;
    while (!m_closed) {
        const auto [headerError, headerBytes] = co_await Asio::async_read(m_socket, Asio::buffer(header), awaitTuple);
        if (headerError) {
            break;
        }
        if (frameLength(header) > m_limits.maxFrameBytes) {
            reportInvalidFrame();
            break;
        }
        payload.resize(frameLength(header));
        const auto [payloadError, payloadBytes] = co_await Asio::async_read(m_socket, Asio::buffer(payload), awaitTuple);
        bool delivered = false;
        try {
            delivered = !payloadError && deliver(payload);
        } catch (...) {
            failure = std::current_exception();
        }
        if (!delivered) {
            break;
        }
    }
    // A connection that is no longer read must not stay open.
    close();
    reportErrors(failure);
}

bool PeerConnection::deliver(const std::vector<std::uint8_t> &payload)
{
    Wire::PeerMessageT message;
    if (decodeFrame(payload, message)) {
        reportInvalidFrame();
        return false;
    }
    if (m_handler == nullptr) {
        return false;
    }
    m_handler->handleMessage(shared_from_this(), std::move(message));
    return true;
}

void PeerConnection::reportInvalidFrame()
{
    if (m_handler != nullptr) {
        m_handler->handleInvalidFrame(shared_from_this());
    }
}

Asio::awaitable<void> PeerConnection::writeQueue()
{
    const auto self = shared_from_this();
    const ScopeGuard ended([&self]() {
        self->m_writing = false;
    });
    std::vector<std::uint8_t> batch;
    while (!m_closed && !m_queue.empty()) {
        batch.clear();
        batch.swap(m_queue);
        const auto [error, bytes] = co_await Asio::async_write(m_socket, Asio::buffer(batch), awaitTuple);
        m_byteCounter(bytes);
        if (error) {
            close();
        }
    }
}

}
