#include "Feed/FeedClient.h"

#include "Feed/FeedLimits.h"
#include "Feed/WireFeed.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerMessages_generated.h"
#include "Telemetry/EventLog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Mangofall::Feed {

namespace {

namespace Asio = boost::asio;

// How much longer than its waiting time a call may take, including a new connection to a host that has used up its processor quota.
constexpr std::chrono::milliseconds watchTimeoutMargin{400};
// How long a host that is still reading all keys itself keeps the call of another one.
constexpr std::chrono::milliseconds pageWait{400};
// A reader may send pages to all its followers at once over a link of 20 Mbit/s.
constexpr std::chrono::milliseconds pageTimeoutMargin{1600};

}

FeedClient::FeedClient(Asio::io_context &io, const HostId &self, const DataCentreId &dataCentre, EventLog &log, PeerConnection::ByteCounter byteCounter)
    : m_io(io)
    , m_log(log)
    , m_byteCounter(std::move(byteCounter))
    , m_timer(io)
{
    auto hello = std::make_shared<Wire::HelloT>();
    hello->host = self.value();
    hello->data_centre = dataCentre.value();
    m_hello = std::move(hello);
}

FeedClient::~FeedClient()
{
    closeLink();
}

void FeedClient::setHosts(const std::vector<FeedHost> &hosts)
{
    m_addresses.clear();
    for (const FeedHost &host : hosts) {
        m_addresses[host.id] = host.address;
    }
}

void FeedClient::setConnectLimit(Duration limit)
{
    m_connectLimit = limit;
}

void FeedClient::closeLink()
{
    if (m_link) {
        m_link->closeSilently();
        m_link.reset();
    }
    endCall();
}

ItemSource &FeedClient::peer(const HostId &host)
{
    if (host != m_host) {
        closeLink();
        m_host = host;
    }
    return *this;
}

Asio::awaitable<ItemPage> FeedClient::readPage(std::uint64_t era, std::string after)
{
    Wire::FeedCallT request;
    request.kind = Wire::FeedCallKind::Page;
    request.era = era;
    request.after_key = std::move(after);
    request.wait_ms = static_cast<std::uint32_t>(pageWait.count());
    ItemPage page = co_await call(std::move(request), pageWait + pageTimeoutMargin);
    co_return page;
}

Asio::awaitable<ItemPage> FeedClient::watch(std::uint64_t era, std::uint64_t revision, std::chrono::milliseconds wait)
{
    Wire::FeedCallT request;
    request.kind = Wire::FeedCallKind::Changes;
    request.era = era;
    request.after_revision = revision;
    request.wait_ms = static_cast<std::uint32_t>(wait.count());
    ItemPage page = co_await call(std::move(request), wait + watchTimeoutMargin);
    co_return page;
}

void FeedClient::handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message)
{
    if (!m_link || m_link->connection() != connection) {
        return;
    }
    const Wire::FeedAnswerT *answer = message.body.AsFeedAnswer();
    if (answer == nullptr) {
        refuseAnswer("not an answer");
        return;
    }
    if (m_callEnded || answer->call != m_callNumber) {
        return;
    }
    m_answer = fromWire(*answer);
    if (!m_answer) {
        refuseAnswer("a value out of range");
        return;
    }
    endCall();
}

void FeedClient::handleClosed(const std::shared_ptr<PeerConnection> &connection)
{
    if (m_link && m_link->connection() == connection) {
        endCall();
    }
}

void FeedClient::handleInvalidFrame(const std::shared_ptr<PeerConnection> &connection)
{
    static_cast<void>(connection);
    m_log.write("feed_message_invalid", {{"peer", m_host.value()}, {"problem", "not a valid frame"}});
}

Asio::awaitable<ItemPage> FeedClient::call(Wire::FeedCallT call, Duration timeout)
{
    const auto address = m_addresses.find(m_host);
    if (address == m_addresses.end()) {
        co_return ItemPage();
    }
    if (!m_link) {
        m_link = std::make_shared<PeerLink>(m_io, address->second.address, address->second.port, m_hello, *this, m_byteCounter, feedConnectionLimits);
    }
    call.call = ++m_callNumber;
    m_callEnded = false;
    m_answer.reset();
    const Duration connectTime = call.kind == Wire::FeedCallKind::Page ? std::min(m_connectLimit, timeout) : Duration::zero();
    Wire::PeerMessageT message;
    message.body.Set(std::move(call));
    m_link->send(std::move(message));
    if (connectTime > Duration::zero()) {
        co_await waitForAnswer(connectTime);
    }
    if (connectTime == Duration::zero() || isConnected()) {
        co_await waitForAnswer(timeout - connectTime);
    } else if (!m_callEnded) {
        m_log.write("feed_peer_not_connected", {{"peer", m_host.value()}});
    }
    m_callEnded = true;
    if (!m_answer) {
        closeLink();
        co_return ItemPage();
    }
    co_return std::move(*m_answer);
}

Asio::awaitable<void> FeedClient::waitForAnswer(Duration time)
{
    if (!m_callEnded) {
        m_timer.expires_after(time);
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

bool FeedClient::isConnected() const
{
    return m_link && m_link->connection() && m_link->connection()->isOpen();
}

void FeedClient::refuseAnswer(const std::string &problem)
{
    m_log.write("feed_message_invalid", {{"peer", m_host.value()}, {"problem", problem}});
    closeLink();
}

void FeedClient::endCall()
{
    m_callEnded = true;
    m_timer.cancel();
}

}
