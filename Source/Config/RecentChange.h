#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/Revision.h"

#include <cstddef>
#include <string>

namespace Mangofall {

/// Changes that the root remembers: 25 minutes at 8,700 changes a day, in about 20 KB of the root.
constexpr std::size_t maxRecentChanges = 150;

/**
 * \class RecentChange
 * \brief An accepted change: the history's entry, and the proof that a change with this id took effect.
 */
struct RecentChange {
    ChangeId id;
    Revision revision = 0; ///< The revision that the change made.
    WallTime time; ///< Clock of the host that made the change; for people only.
    std::string summary;

    friend bool operator==(const RecentChange &, const RecentChange &) = default;
};

}
