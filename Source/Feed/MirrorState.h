#pragma once

#include "Base/Time.h"
#include "Feed/EraTransition.h"
#include "Feed/SourceSelector.h"
#include "Feed/StoreView.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Mangofall {
class EventLog;
}

namespace Mangofall::Feed {

class RestorePolicy;
class StoreObserver;

/// Times for which one call waits for changes. A silent connection is detected after about this time.
struct WatchWaits {
    /// For the store, at a host that no other host follows; counted from the last answer, because the connection may have gone silent since then.
    std::chrono::milliseconds independent{0};
    std::chrono::milliseconds reader{0}; ///< For the store, at a host that others follow.
    std::chrono::milliseconds follower{0}; ///< For a reader.
};

/// A call to a source, to be made at \c at.
struct MirrorCall {
    SourceId source;
    TimePoint at;
    bool page = false; ///< Whether a page of keys is read; otherwise the call waits for changes.
    bool verifies = false; ///< Whether the call follows a lost connection: it is made at once and does not wait, and shows whether the store is available.
    std::uint64_t era = 0; ///< The newest era that is known.
    std::string afterKey; ///< For a page: it begins after this key.
    std::uint64_t afterRevision = 0; ///< For changes: they begin after this revision.
    std::chrono::milliseconds wait{0}; ///< For changes: the longest time to wait.
};

/**
 * \class MirrorState
 * \brief Keeps a StoreView up to date: decides which call is made next and applies its answer. It makes no calls itself and reads no clock.
 *
 * All keys are read first, and read again when the sources no longer keep the history that watching needs. Reading goes on where it stopped after a failed
 * call, also from another source.
 *
 * The loss of a connection is no outage: the store is called again at once, and only if that call fails, too, counts as not available.
 *
 * A change that the observer could not handle is reported again until it has been, and an observer that failed at the end of a batch is called again: the
 * revision of the view has passed these changes, so that no source sends them again.
 *
 * An answer of a newer era means that the store was restored from a copy: all keys are read into a new view, which replaces the view of the old era when it is
 * complete. An answer of an older era counts as a failure of its source.
 */
class MirrorState
{
public:
    /// All arguments must outlive the state.
    MirrorState(SourceSelector &selector, WatchWaits waits, StoreObserver &observer, const RestorePolicy &policy, EventLog &log, TimePoint now);

    /// Whether the hosts are to be listed before the next call, so that the selector knows the peers.
    bool listingDue(TimePoint now) const;
    void hostsListed(bool answered, TimePoint now);

    MirrorCall next(TimePoint now) const;
    void handleAnswer(const MirrorCall &call, const ItemPage &page, TimePoint now);
    /// Records that \p source has answered in \p era.
    void eraSeen(std::uint64_t era, const SourceId &source, TimePoint now);
    /// This process stood still until now: what it has read since may be only the first of several changes, so that the next calls follow without a pause.
    void processPaused(TimePoint now);
    /// Reports the items of the store that were held back since a restore, if they were held for long enough, and once more those that the observer could not
    /// handle.
    void expireHeldItems(TimePoint now);

    /// Whether all keys have been read at least once.
    bool synchronised() const;
    const StoreView &view() const;
    /// Time since the store last answered, directly or through other hosts; empty if it has not answered yet.
    std::optional<Duration> age(TimePoint now) const;
    /// Time since the first or the last failed call of the last outage of the store was made, here or at a host that this one reads from; empty if there was
    /// none or the store has answered others since.
    std::optional<Duration> failureAge(TimePoint now) const;
    /// The newest era that is known; 0 if none is.
    std::uint64_t era() const;
    /// The smallest revision of the era that this host or those that it reads from have seen; 0 if none is known.
    std::uint64_t eraRevision() const;
    /// Time since the era changed; empty if it did not since the start of the process.
    std::optional<Duration> eraAge(TimePoint now) const;
    /// Whether the view is of an older era than era(), because the keys of the newer one are still being read.
    bool readsNewEra() const;
    /// The number of keys of which the observer knows another item than the store holds.
    std::size_t heldItems() const;
    /// Whether the last answer came from a peer.
    bool followsPeer() const;

private:
    /// The progress of reading all keys.
    struct FullRead {
        TimePoint startedAt;
        std::optional<TimePoint> currentAt; ///< The pages hold all changes that the store acknowledged before this time.
        std::string after; ///< The next page begins after this key.
        std::uint64_t revision = 0; ///< Smallest revision of the pages.
        std::set<std::string> present; ///< The keys that were read.
    };

    std::chrono::milliseconds watchWait(const SourceChoice &choice, TimePoint at) const;
    /// The wait after which a store connection that has gone silent since the last answer is noticed in time.
    std::chrono::milliseconds independentWait(TimePoint at) const;
    /// Whether the content of an answer may be used, as far as its era tells.
    bool checkEra(const MirrorCall &call, const ItemPage &page, TimePoint now);
    void handlePage(const ItemPage &page, TimePoint now);
    void recordEraRevision(const ItemPage &page);
    void handleChanges(const MirrorCall &call, const ItemPage &page, TimePoint now);
    void handleLostConnection(const MirrorCall &call, TimePoint now);
    /// \p madeAt is the time of the call that failed.
    void handleFailure(const SourceId &source, TimePoint madeAt, TimePoint now);
    void handleHistoryGone(const SourceId &source, TimePoint now);
    void completeRead(TimePoint now);
    void startRead(TimePoint now);
    void recordAnswer(const MirrorCall &call, const ItemPage &page, TimePoint now);
    /// The latest time at which the source can have answered the call. The answer may have waited while this process stood still.
    static TimePoint latestAnswerTime(const MirrorCall &call, TimePoint now);
    /// Records until when the view, or the pages of a read, hold all changes of the store.
    void recordCurrentAt(const MirrorCall &call, TimePoint time);
    /// Records that the store answers this host again.
    void recordRecovery();
    void recordFailuresOfPeer(const ItemPage &page, TimePoint now);
    /// Whether another host has read the store a short time ago.
    bool storeAnswersOthers(TimePoint now) const;
    /// The view that is being read, or is kept up to date.
    StoreView &target();
    /// Puts the view of the new era in force.
    void replaceView();
    void applyItem(const StoreItem &item, TimePoint now);
    void deliver(const EraChanges &changes);
    /// Tells the observer of a change. An item that it cannot handle must not keep it from the others.
    void notify(const StoreItem &item);
    void reportUnhandledItems();
    /// Tells the observer that all changes of an answer have been reported; if it fails, it is told again later.
    void completeBatch();
    Duration batchDelay(TimePoint now) const;

    SourceSelector &m_selector;
    WatchWaits m_waits;
    StoreObserver &m_observer;
    EventLog &m_log;
    EraTransition m_transition;
    StoreView m_view;
    std::optional<StoreView> m_replacement; ///< The view of a newer era while its keys are being read.
    std::uint64_t m_era = 0; ///< The newest era that is known.
    std::uint64_t m_eraRevision = 0; ///< The smallest known revision of the newest era; 0 if there is none.
    std::optional<TimePoint> m_eraChangedAt;
    TimePoint m_restoredAfter; ///< A time before the restore that began the newest era, as late as this host knows one.
    std::optional<FullRead> m_read; ///< Set while all keys are being read.
    SourceId m_source; ///< The source of the last answer.
    std::optional<TimePoint> m_storeFailingSince; ///< The first failed call to the store since it last answered this host; empty if the last call succeeded.
    std::optional<TimePoint> m_storeAnsweredAt; ///< The last answer of the store to this host.
    /// When the last call was made that shows the store to be unavailable. The outage ended later than that; when exactly, a host that polls cannot know.
    std::optional<TimePoint> m_lastFailedCallAt;
    bool m_verifiesStore = false; ///< Whether the connection to the store was lost and no call has been answered or failed since.
    bool m_historyGoneAtPeer = false; ///< Whether the last answer of a peer was HistoryGone.
    std::optional<TimePoint> m_pausedAt; ///< The end of a pause of this process, until a call that was made after it has been answered.
    TimePoint m_nextStoreCall; ///< No call is made to the store before this time.
    /// When the first or the last failed call of the last outage of the store was made, as far as this host or those that it reads from know.
    std::optional<TimePoint> m_storeFailedAt;
    std::map<std::string, StoreItem> m_unhandled; ///< The items that the observer could not handle.
    TimePoint m_nextReport; ///< When the unhandled items are reported again.
    bool m_batchPending = false; ///< Whether the observer has not been told of the end of the last batch yet.
    std::optional<TimePoint> m_currentAt; ///< The view holds all changes that the store acknowledged before this time.
    std::optional<TimePoint> m_synchronisedAt; ///< When all keys were read for the first time.
    TimePoint m_nextListing;
};

}
