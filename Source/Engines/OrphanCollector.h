#pragma once

#include "Base/AttemptId.h"
#include "Base/Time.h"
#include "Engines/KvBlock.h"
#include "Engines/ReservationTable.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Mangofall {

/// Event: everything that the engine says it holds.
struct HeldBlocksListed {
    std::vector<KvBlock> blocks;
    std::unordered_set<AttemptId> liveOwners; ///< From ReservationTable::owners().
};

/**
 * \class OrphanCollector
 * \brief Frees what an engine holds for attempts that no longer live, after a grace period.
 *
 * It needs only the engine's own list, so a new dispatcher also frees what hosts left behind that died at any step.
 */
class OrphanCollector
{
public:
    explicit OrphanCollector(Duration grace);

    /// Blocks to free now; a block that the engine still lists later is named again.
    std::vector<FreeBlock> handle(const HeldBlocksListed &event, TimePoint now);

private:
    Duration m_grace;
    std::unordered_map<KvBlockId, TimePoint> m_orphanSince;
};

}
