#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"
#include "Feed/FeedHost.h"
#include "Feed/FurtherHosts.h"
#include "Feed/ReaderSelector.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace Mangofall::Feed {

/// The way in which a host learns of changes of the store.
enum class FeedRole {
    Independent, ///< Reads the store, as each host of its data centre does.
    Reader, ///< Reads the store and passes the changes on.
    Follower, ///< Reads the changes from a reader.
};

/// A source of the store's keys: a host, or the store if the host is empty.
struct SourceId {
    HostId host;

    bool isStore() const
    {
        return host.empty();
    }

    friend bool operator==(const SourceId &, const SourceId &) = default;
    friend bool operator<(const SourceId &left, const SourceId &right)
    {
        return left.host < right.host;
    }
};

/// The source of the next call, which is to be made at \c at.
struct SourceChoice {
    SourceId source;
    TimePoint at;
    bool preferred = true; ///< Whether it is the source to stay with, so that the call may wait long for changes.
};

/**
 * \class SourceSelector
 * \brief Decides from which source a host reads the store's keys.
 *
 * A reader prefers the store and turns to other readers while the store does not answer it. A follower prefers the readers and turns to the store while none
 * of them has a recent view. A source that failed is avoided for a time that doubles with each further failure and is spread at random, so that the hosts
 * that depended on one reader do not all act at the same moment. While all of them fail, further hosts of the data centre are asked if that is enabled.
 */
class SourceSelector
{
public:
    /// Answers whose age exceeds \p maxAge count as failures of a peer.
    SourceSelector(HostId self, ReaderLimits limits, Duration maxAge, RandomEngine random);

    /// \p hosts are the live hosts of the own data centre that answer feed calls.
    void setHosts(const std::vector<FeedHost> &hosts);
    /// Until a source has answered for the first time, makes a follower whose readers all fail read the store only after a random pause, and try failed peers
    /// again sooner. After a loss of all hosts the readers may start a little later than their followers, which must not all read the store instead.
    void spreadFirstReads();
    /// Enables asking further hosts of the data centre while the store and all peers fail.
    void askFurtherHosts();
    FeedRole role() const;
    /// The number of other hosts that this host may read from.
    std::size_t peerCount() const;

    SourceChoice next(TimePoint now) const;
    /// Records an answer whose content is \p age old; returns whether the source stays usable.
    bool answered(const SourceId &source, Duration age, TimePoint now);
    /// Records that \p source runs but has not read all keys itself yet. After a while this counts as a failure.
    void starting(const SourceId &source, TimePoint now);
    void failed(const SourceId &source, TimePoint now);

private:
    struct Health {
        unsigned failures = 0; ///< Number of failures since the last usable answer.
        TimePoint avoidUntil;
        std::optional<TimePoint> startingSince; ///< When the source first said that it has not read all keys yet.
    };

    std::vector<SourceId> preferences() const;
    /// The reader that will have read all keys soon; empty if there is none.
    std::optional<SourceChoice> startingPeer(TimePoint now) const;
    /// The further host to ask before \p other is due; empty unless the store and all peers have failed.
    std::optional<SourceChoice> furtherHost(TimePoint now, const SourceChoice &other) const;
    bool isFurther(const SourceId &source) const;
    bool allPeersFailed() const;
    /// Sets the time from which the store may be read if this is a follower all of whose readers have failed during its start.
    void spreadStoreRead(TimePoint now);
    Duration backoff(const SourceId &source, unsigned failures);

    HostId m_self;
    ReaderLimits m_limits;
    Duration m_maxAge;
    RandomEngine m_random;
    FeedRole m_role = FeedRole::Independent;
    std::vector<HostId> m_peers; ///< The hosts to read from, the preferred one first.
    std::map<SourceId, Health> m_health;
    FurtherHosts m_further; ///< The hosts of the data centre that are neither this host nor peers.
    bool m_asksFurther = false;
    bool m_storeDue = false; ///< Whether a peer has failed since the store was asked last.
    bool m_spreadsFirstReads = false; ///< Whether no source has answered yet and the first reads are spread.
};

}
