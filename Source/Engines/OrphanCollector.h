#pragma once

#include "Base/AttemptId.h"
#include "Base/Time.h"
#include "Engines/KvBlock.h"
#include "Engines/ReservationTable.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Mangofall {

/// Event: the engine listed all KV blocks that it holds.
struct HeldBlocksListed {
    std::vector<KvBlock> blocks;
    std::unordered_set<AttemptId> liveOwners; ///< Attempts with a reservation, from ReservationTable::owners().
};

/**
 * \class OrphanCollector
 * \brief Frees the blocks that an engine holds for attempts without a reservation, after a grace period.
 *
 * It needs only the engine's own list of blocks, so a new dispatcher also frees the blocks of hosts that failed at any step.
 */
class OrphanCollector
{
public:
    explicit OrphanCollector(Duration gracePeriod);

    /// Returns the blocks to free now; a block that the engine still lists later is returned again.
    std::vector<FreeBlock> handle(const HeldBlocksListed &event, TimePoint now);

private:
    Duration m_gracePeriod;
    std::unordered_map<KvBlockId, TimePoint> m_orphanedSince;
};

}
