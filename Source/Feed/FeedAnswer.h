#pragma once

#include "Base/Time.h"
#include "Feed/ItemPage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Mangofall::Feed {

class MirrorState;

/// A call of another host that reads this host's view of the store.
struct FeedRequest {
    bool page = false; ///< Whether a page of keys is read; otherwise the caller waits for changes.
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    TimePoint deadline; ///< The caller gets an answer at this time, even if nothing has changed.
    std::uint64_t era = 0; ///< The newest era that the caller knows; 0 if it knows none.
};

/// The answer to \p request at \p now; empty if the caller is to wait.
std::optional<ItemPage> answerFeedRequest(const MirrorState &state, const FeedRequest &request, TimePoint now);

}
