#include "Feed/StoreFeed.h"

#include "Base/AsyncTasks.h"
#include "Telemetry/EventLog.h"

#include <boost/asio/co_spawn.hpp>

#include <random>

namespace Mangofall::Feed {

namespace {

// A reader that is cut off from the store stops to answer with a recent view after the reader's wait and up to maxAge. Its followers notice within their own
// wait, and the rest of the limit is left for the next reader's answer and for a slow store.
constexpr int readerWaitPercent = 30;
constexpr int followerWaitPercent = 17;
constexpr int maxAgePercent = 50;
constexpr int wholePercent = 100;

}

FeedSettings makeFeedSettings(std::chrono::milliseconds changeLimit, std::chrono::milliseconds independentWait)
{
    FeedSettings settings;
    settings.maxAge = changeLimit * maxAgePercent / wholePercent;
    settings.waits.independent = independentWait;
    settings.waits.reader = std::min(independentWait, changeLimit * readerWaitPercent / wholePercent);
    settings.waits.follower = changeLimit * followerWaitPercent / wholePercent;
    return settings;
}

StoreFeed::StoreFeed(boost::asio::io_context &io, const FeedSettings &settings, Adapter adapter, EventLog &log, const PeerConnection::ByteCounter &byteCounter)
    : m_io(io)
    , m_log(log)
    , m_selector(settings.self, settings.readers, settings.maxAge, RandomEngine(std::random_device{}()))
    , m_client(io, settings.self, settings.dataCentre, log, byteCounter)
    , m_state(m_selector, settings.waits, adapter.observer, adapter.restorePolicy, log, std::chrono::steady_clock::now())
    , m_mirror(io, {adapter.store, m_client, adapter.lister}, m_state, log)
    , m_server(io, m_state, log, byteCounter)
{
    m_client.setConnectLimit(settings.startConnectLimit);
    if (settings.startConnectLimit > Duration::zero()) {
        m_selector.spreadFirstReads();
    }
    if (settings.asksFurtherHosts) {
        m_selector.askFurtherHosts();
    }
}

std::error_code StoreFeed::listen(const NetworkAddress &address)
{
    return m_server.listen(address);
}

void StoreFeed::start()
{
    boost::asio::co_spawn(m_io, m_mirror.run(), reportErrors);
}

void StoreFeed::setHosts(const std::vector<FeedHost> &hosts)
{
    m_client.setHosts(hosts);
    m_selector.setHosts(hosts);
    if (role() != m_loggedRole) {
        m_loggedRole = role();
        m_log.write("feed_role", {{"role", name(role())}, {"hosts", std::to_string(hosts.size())}, {"peers", std::to_string(m_selector.peerCount())}});
    }
}

void StoreFeed::viewChanged()
{
    m_server.viewChanged();
}

void StoreFeed::eraSeen(std::uint64_t era)
{
    m_state.eraSeen(era, SourceId(), std::chrono::steady_clock::now());
}

void StoreFeed::expireHeldItems()
{
    m_state.expireHeldItems(std::chrono::steady_clock::now());
}

void StoreFeed::processPaused()
{
    m_state.processPaused(std::chrono::steady_clock::now());
}

void StoreFeed::closeLink()
{
    m_client.closeLink();
}

const MirrorState &StoreFeed::state() const
{
    return m_state;
}

FeedRole StoreFeed::role() const
{
    return m_selector.role();
}

std::size_t StoreFeed::followers() const
{
    return m_server.connectionCount();
}

std::string name(FeedRole role)
{
    switch (role) {
    case FeedRole::Independent:
        return "independent";
    case FeedRole::Reader:
        return "reader";
    case FeedRole::Follower:
        return "follower";
    }
    return "unknown";
}

}
