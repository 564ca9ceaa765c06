#pragma once

#include "Feed/ItemPage.h"
#include "Feed/StoreItem.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Mangofall::Feed {

/**
 * \class StoreView
 * \brief What a host knows of the store's keys: the newest known item of each key, and the changes that it can pass on to other hosts.
 *
 * The view of a key never goes back to an older revision, whichever sources its items come from. All items must be of one era of the store, since revisions
 * are reused after a restore.
 */
class StoreView
{
public:
    /// Applies \p item and returns whether it changed a key. Items that are not newer than what is known are ignored.
    bool apply(const StoreItem &item);
    /// Records that all changes up to \p revision have been applied. A smaller revision than the known one is ignored.
    void setRevision(std::uint64_t revision);
    /// Removes the keys that are missing in a complete read of the store as of \p revision and returns the removals. \p present are the keys that were read.
    /// The changes that led to the read are unknown, so that they cannot be passed on.
    std::vector<StoreItem> removeMissing(const std::set<std::string> &present, std::uint64_t revision);

    /// All changes up to this revision are known.
    std::uint64_t revision() const;
    /// Whether all keys have been read, and no item is newer than revision().
    bool consistent() const;
    /// Present keys and those that were removed recently.
    const std::map<std::string, StoreItem> &items() const;
    /// The number of present keys.
    std::size_t size() const;

    /// The present items whose keys follow \p after, up to a page. The view must be consistent.
    ItemPage pageAfter(const std::string &after) const;
    /// The changes after \p revision, or HistoryGone if they are not all known. The view must be consistent.
    ItemPage changesAfter(std::uint64_t revision) const;

private:
    void recordChange(const StoreItem &item);
    void forgetOldRemovals();

    std::map<std::string, StoreItem> m_items; ///< Present keys and those that were removed recently.
    std::map<std::uint64_t, std::set<std::string>> m_keysByRevision; ///< The keys of m_items by the revision of their last change.
    std::deque<std::pair<std::uint64_t, std::string>> m_removals; ///< Removed keys in the order of their removal.
    std::size_t m_present = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_firstKnownRevision = 0; ///< Changes after this revision can be passed on.
};

}
