#pragma once

#include "Feed/FeedClient.h"
#include "Feed/FeedServer.h"
#include "Feed/SourceSelector.h"
#include "Feed/StoreMirror.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Feed {

/// The settings of a host's feed.
struct FeedSettings {
    HostId self;
    DataCentreId dataCentre;
    ReaderLimits readers;
    Duration maxAge{0}; ///< A host whose view is older is not followed.
    WatchWaits waits;
    /// A host that starts gives up a peer that has not accepted its connection for this long, and reads the store only after a random pause; 0 for neither.
    Duration startConnectLimit{0};
    bool asksFurtherHosts = false; ///< Whether further hosts of the data centre are asked while the store and the readers fail.
};

/// The settings under which each change of the store reaches every host within \p changeLimit, although any one host fails or is cut off.
/// \p independentWait is the waiting time of a host that reads the store only for itself.
FeedSettings makeFeedSettings(std::chrono::milliseconds changeLimit, std::chrono::milliseconds independentWait);

/**
 * \class StoreFeed
 * \brief This host's part in passing the changes of the store between the hosts of a data centre.
 */
class StoreFeed
{
public:
    /// The parts of the adapter to the store that the feed uses.
    struct Adapter {
        ItemSource &store;
        HostLister &lister;
        StoreObserver &observer;
        const RestorePolicy &restorePolicy;
    };

    /// All arguments must outlive the feed.
    StoreFeed(boost::asio::io_context &io, const FeedSettings &settings, Adapter adapter, EventLog &log, const PeerConnection::ByteCounter &byteCounter);

    std::error_code listen(const NetworkAddress &address);
    /// Starts to read the store or to follow a peer.
    void start();
    /// \p hosts are the live hosts of the own data centre that answer feed calls.
    void setHosts(const std::vector<FeedHost> &hosts);
    /// Tells the hosts that wait for changes that the view has changed.
    void viewChanged();
    /// Records that a call to the store was answered in \p era.
    void eraSeen(std::uint64_t era);
    /// Releases items that were held for long enough; to be called several times a second.
    void expireHeldItems();
    /// This process stood still until now.
    void processPaused();
    /// Closes the connection to the followed host.
    void closeLink();

    const MirrorState &state() const;
    FeedRole role() const;
    /// The number of hosts that are connected to read from this host.
    std::size_t followers() const;

private:
    boost::asio::io_context &m_io;
    EventLog &m_log;
    SourceSelector m_selector;
    FeedClient m_client;
    MirrorState m_state;
    StoreMirror m_mirror;
    FeedServer m_server;
    FeedRole m_loggedRole = FeedRole::Independent;
};

/// The name of \p role in logs.
std::string name(FeedRole role);

}
