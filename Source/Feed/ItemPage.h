#pragma once

#include "Base/Time.h"
#include "Feed/StoreItem.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Mangofall::Feed {

/// The result of a call to an ItemSource.
enum class SourceStatus {
    Ok,
    Starting, ///< The source has not read all keys yet.
    HistoryGone, ///< The source no longer keeps the changes after the given revision.
    RateLimited, ///< The source works, but refuses the call because the hosts together call it too often.
    Lost, ///< No answer on an open connection, which may have gone silent or been closed. This does not show whether the source answers new calls.
    Failed, ///< The source could not be reached, refused the call or gave no valid answer.
};

/**
 * \class ItemPage
 * \brief Some items of the store as an ItemSource knows them.
 */
struct ItemPage {
    SourceStatus status = SourceStatus::Failed;
    std::vector<StoreItem> items;
    std::uint64_t era = 0; ///< The store's era, which increases when the store is restored from a copy; 0 if the answer does not tell it.
    std::uint64_t eraRevision = 0; ///< The smallest revision of the era that a peer has seen: what is newer was written after the copy. 0 if it is not known.
    std::uint64_t revision = 0; ///< The source knows all changes up to this revision of the store.
    bool more = false; ///< Whether further keys follow the last item.
    Duration age{0}; ///< Time since the store last answered, directly or through other hosts.
    std::optional<Duration> failureAge; ///< Time since the last failure of the store that the source knows of, if there was one.
};

}
