#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/Revision.h"

#include <cstddef>
#include <string>

namespace Mangofall {

/// Maximum number of changes listed in the root. It covers 25 minutes at 8,700 changes per day and takes about 20 KB of the root.
constexpr std::size_t maxRecentChanges = 150;

/**
 * \class RecentChange
 * \brief An accepted change: an entry of the history, and the proof that the change with this id took effect.
 */
struct RecentChange {
    ChangeId id;
    Revision revision = 0; ///< The revision that the change created.
    WallTime time; ///< Wall-clock time of the host that made the change; only displayed, never compared.
    std::string summary;

    friend bool operator==(const RecentChange &, const RecentChange &) = default;
};

}
