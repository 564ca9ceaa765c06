#include "Feed/FeedServer.h"

#include "Feed/FeedLimits.h"
#include "Feed/WireFeed.h"
#include "Peer/PeerMessages_generated.h"
#include "Peer/TcpListener.h"
#include "Telemetry/EventLog.h"

#include <algorithm>

namespace Mangofall::Feed {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds maxWait{5000};
// Bounds the descriptors that feed connections take; a reader has a few tens of followers.
constexpr std::size_t maxConnections = 400;

bool isKnown(Wire::FeedCallKind kind)
{
    return kind == Wire::FeedCallKind::Page || kind == Wire::FeedCallKind::Changes;
}

}

FeedServer::FeedServer(boost::asio::io_context &io, const MirrorState &state, EventLog &log, PeerConnection::ByteCounter byteCounter)
    : m_io(io)
    , m_state(state)
    , m_log(log)
    , m_byteCounter(std::move(byteCounter))
    , m_timer(io)
{
}

FeedServer::~FeedServer()
{
    for (const auto &[connection, waiting] : m_connections) {
        connection->closeSilently();
    }
}

std::error_code FeedServer::listen(const NetworkAddress &address)
{
    m_listener = std::make_unique<TcpListener>(m_io, [this](boost::asio::ip::tcp::socket socket) {
        accept(std::move(socket));
    });
    return m_listener->listen(address.address, address.port, false);
}

std::uint16_t FeedServer::port() const
{
    return m_listener->port();
}

void FeedServer::viewChanged()
{
    answerWaiting(Clock::now());
}

std::size_t FeedServer::connectionCount() const
{
    return m_connections.size();
}

void FeedServer::accept(boost::asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= maxConnections) {
        m_log.write("feed_connection_refused", {{"connections", std::to_string(m_connections.size())}});
        return;
    }
    auto connection = std::make_shared<PeerConnection>(std::move(socket), m_byteCounter, feedConnectionLimits);
    m_connections[connection] = std::nullopt;
    connection->start(*this);
}

void FeedServer::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
    const auto known = m_connections.find(connection);
    if (known == m_connections.end() || message.body.AsHello() != nullptr) {
        return;
    }
    const Wire::FeedCallT *call = message.body.AsFeedCall();
    if (call == nullptr || !isKnown(call->kind)) {
        refuse(connection, "not a feed call");
        return;
    }
    if (known->second) {
        refuse(connection, "a second call before the answer to the first");
        return;
    }
    const TimePoint now = Clock::now();
    const Duration wait = std::min<Duration>(maxWait, std::chrono::milliseconds(call->wait_ms));
    known->second = WaitingCall{call->call, {call->kind == Wire::FeedCallKind::Page, call->after_key, call->after_revision, now + wait, call->era}};
    answerWaiting(now);
}

void FeedServer::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    m_connections.erase(connection);
}

void FeedServer::handleInvalidFrame(const std::shared_ptr<PeerConnection> &connection)
{
    static_cast<void>(connection);
    m_log.write("feed_message_invalid", {{"problem", "not a valid frame"}});
}

void FeedServer::answerWaiting(TimePoint now)
{
    // Sending may close a connection, which removes it from the map.
    const Connections connections = m_connections;
    for (const auto &[connection, waiting] : connections) {
        if (!waiting) {
            continue;
        }
        const std::optional<ItemPage> page = answerFeedRequest(m_state, waiting->request, now);
        if (!page) {
            continue;
        }
        Wire::PeerMessageT message;
        message.body.Set(toWire(*page, waiting->number));
        m_connections[connection].reset();
        connection->send(message);
    }
    scheduleTimeout();
}

void FeedServer::refuse(const std::shared_ptr<PeerConnection> &connection, const std::string &problem)
{
    m_log.write("feed_message_invalid", {{"problem", problem}});
    connection->close();
}

void FeedServer::scheduleTimeout()
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[connection, waiting] : m_connections) {
        earliest = waiting ? std::min(earliest, waiting->request.deadline) : earliest;
    }
    if (earliest == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(earliest);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            answerWaiting(Clock::now());
        }
    });
}

}
