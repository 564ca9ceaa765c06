#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Forwarding {

/**
 * \class StoreViewStatus
 * \brief How recent a host's view of the store is.
 */
struct StoreViewStatus {
    std::uint64_t era = 0; ///< Of the store; 0 if unknown.
    std::uint64_t revision = 0; ///< All changes up to this revision are known; 0 if no view has been read.
    Duration age{0}; ///< Time since the store last answered, directly or through other hosts.

    bool known() const
    {
        return revision != 0;
    }
};

/// Whether \p left knows of changes that \p right does not know.
inline bool isNewer(const StoreViewStatus &left, const StoreViewStatus &right)
{
    return left.era == right.era ? left.revision > right.revision : left.era > right.era;
}

}
