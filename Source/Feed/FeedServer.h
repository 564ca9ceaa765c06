#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Feed/FeedAnswer.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerMessageHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <system_error>

namespace Mangofall {
class EventLog;
class TcpListener;
}

namespace Mangofall::Feed {

class MirrorState;

/**
 * \class FeedServer
 * \brief Answers the feed calls of other hosts from this host's view of the store.
 */
class FeedServer final : public PeerMessageHandler
{
public:
    /// All arguments must outlive the server.
    FeedServer(boost::asio::io_context &io, const MirrorState &state, EventLog &log, PeerConnection::ByteCounter byteCounter);
    ~FeedServer() override;

    std::error_code listen(const NetworkAddress &address);
    /// The port that listen() bound.
    std::uint16_t port() const;
    /// Answers the calls that wait for a change.
    void viewChanged();
    /// The number of hosts that are connected.
    std::size_t connectionCount() const;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;
    void handleInvalidFrame(const std::shared_ptr<PeerConnection> &connection) override;

private:
    struct WaitingCall {
        std::uint64_t number = 0; ///< The caller's number for the call.
        FeedRequest request;
    };
    using Connections = std::map<std::shared_ptr<PeerConnection>, std::optional<WaitingCall>>;

    void accept(boost::asio::ip::tcp::socket socket);
    /// Answers all waiting calls for which there is an answer at \p now.
    void answerWaiting(TimePoint now);
    void refuse(const std::shared_ptr<PeerConnection> &connection, const std::string &problem);
    void scheduleTimeout();

    boost::asio::io_context &m_io;
    const MirrorState &m_state;
    EventLog &m_log;
    PeerConnection::ByteCounter m_byteCounter;
    Connections m_connections;
    std::unique_ptr<TcpListener> m_listener;
    boost::asio::steady_timer m_timer;
};

}
