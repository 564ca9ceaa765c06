#pragma once

#include "Feed/FeedHost.h"
#include "Feed/ItemSource.h"
#include "Feed/PeerSources.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerMessageHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Mangofall {
class EventLog;
class PeerLink;
}

namespace Mangofall::Wire {
struct FeedAnswerT;
struct FeedCallT;
struct HelloT;
}

namespace Mangofall::Feed {

/**
 * \class FeedClient
 * \brief Makes feed calls to one other host at a time, one call after the other.
 */
class FeedClient final : public PeerSources, public ItemSource, public PeerMessageHandler
{
public:
    /// \p io and \p log must outlive the client.
    FeedClient(boost::asio::io_context &io, const HostId &self, const DataCentreId &dataCentre, EventLog &log, PeerConnection::ByteCounter byteCounter);
    ~FeedClient() override;

    void setHosts(const std::vector<FeedHost> &hosts);
    /// Fails a call that reads a page if the host has not accepted the connection within \p limit. Zero, the default, sets no such limit.
    void setConnectLimit(Duration limit);
    /// Closes the connection. For use after a pause of the process, because the peer has gone on without it.
    void closeLink();

    ItemSource &peer(const HostId &host) override;
    boost::asio::awaitable<ItemPage> readPage(std::uint64_t era, std::string after) override;
    boost::asio::awaitable<ItemPage> watch(std::uint64_t era, std::uint64_t revision, std::chrono::milliseconds wait) override;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;
    void handleInvalidFrame(const std::shared_ptr<PeerConnection> &connection) override;

private:
    boost::asio::awaitable<ItemPage> call(Wire::FeedCallT call, Duration timeout);
    /// Waits until the call has ended, or \p time has passed.
    boost::asio::awaitable<void> waitForAnswer(Duration time);
    bool isConnected() const;
    void refuseAnswer(const std::string &problem);
    /// Ends the wait of the current call.
    void endCall();

    boost::asio::io_context &m_io;
    EventLog &m_log;
    PeerConnection::ByteCounter m_byteCounter;
    std::shared_ptr<const Wire::HelloT> m_hello;
    std::map<HostId, NetworkAddress> m_addresses;
    HostId m_host; ///< The host that m_link connects to.
    std::shared_ptr<PeerLink> m_link;
    std::uint64_t m_callNumber = 0;
    bool m_callEnded = true;
    std::optional<ItemPage> m_answer; ///< The answer to the current call.
    boost::asio::steady_timer m_timer;
    Duration m_connectLimit{0};
};

}
