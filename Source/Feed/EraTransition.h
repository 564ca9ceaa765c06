#pragma once

#include "Base/Time.h"
#include "Feed/StoreItem.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Feed {

class RestorePolicy;

/// Why an item is no longer held.
enum class ReleaseCause {
    Written, ///< The key was changed after the copy that the store was restored from.
    Expired, ///< The time for which it may be held has passed.
    Confirmed, ///< A later copy has the same value.
};

/// The name of \p cause in logs.
std::string name(ReleaseCause cause);

/// A key whose known item is no longer held.
struct ReleasedItem {
    std::string key;
    ReleaseCause cause = ReleaseCause::Written;
};

/// What follows from an event of an EraTransition.
struct EraChanges {
    std::vector<StoreItem> reported; ///< The observer is to be told of these changes now.
    std::vector<std::string> held; ///< Keys for which the observer keeps what it knows, against what the store holds.
    std::vector<ReleasedItem> released; ///< Keys that are no longer held.
};

/// All keys of the store as read completely after a restore.
struct RestoredItems {
    const std::map<std::string, StoreItem> &items; ///< Removed keys may be among them; they are passed over.
    std::uint64_t copyRevision = 0; ///< Items of greater revisions were certainly written after the copy.
    std::uint64_t revision = 0; ///< Revision of the read.
};

/**
 * \class EraTransition
 * \brief Keeps what the observer was told of each key, and decides what it is told when the store was restored from an older copy.
 *
 * It handles the loss of acknowledged writes: a value of the copy may be older than one that this host has acted on, for example `ready` after `draining`.
 * What the policy protects is held until the key is changed after the copy, but only for a bounded time.
 */
class EraTransition
{
public:
    /// \p policy must outlive the object.
    explicit EraTransition(const RestorePolicy &policy);

    /// A key was changed in the current era.
    EraChanges changed(const StoreItem &item, TimePoint now);
    /// All keys of a newer era have been read. \p restoredAfter is a time before the restore: what is held must be released when the host is bound by the new
    /// era, however late it learned of it.
    EraChanges restored(const RestoredItems &store, TimePoint restoredAfter);
    /// Releases what was held for long enough.
    EraChanges expire(TimePoint now);

    /// Whether the observer was told of any item.
    bool hasTold() const;
    /// The number of keys that are held.
    std::size_t held() const;

private:
    struct Hold {
        StoreItem offered; ///< What the store holds instead.
        std::optional<TimePoint> until; ///< Empty if only a change of the key ends the hold.
    };

    /// Compares one key of a complete read with what the observer was told.
    void compare(const StoreItem &offered, bool writtenAfterCopy, TimePoint now, EraChanges &changes);
    void applyWrite(const StoreItem &item, TimePoint now, EraChanges &changes);
    void report(const StoreItem &item, EraChanges &changes);
    void hold(const StoreItem &offered, std::optional<TimePoint> until, EraChanges &changes);
    void forgetOldRemovals();

    const RestorePolicy &m_policy;
    std::map<std::string, StoreItem> m_told; ///< The last item of each key that was reported, with recent removals.
    std::deque<std::string> m_removals; ///< Removed keys of m_told in the order of their removal; a key may occur again.
    std::map<std::string, Hold> m_held;
    std::optional<TimePoint> m_restoredAt; ///< When the keys of the last newer era were read.
};

}
