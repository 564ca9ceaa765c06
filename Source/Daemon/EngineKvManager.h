#pragma once

#include "Base/Time.h"
#include "Engines/KvBlock.h"
#include "Engines/OrphanCollector.h"
#include "Engines/ReservationLimits.h"
#include "Engines/ReservationTable.h"

#include <cstdint>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Mangofall {

/**
 * \class EngineKvManager
 * \brief Manages the KV memory of a dispatcher's engine: decides which reservations to grant and which blocks to free.
 *
 * Between deactivate() and activate() it grants and frees nothing, because renewals go to another dispatcher. During a pause
 * of this process another host may have become the dispatcher unnoticed, so after a pause it starts over like a new
 * dispatcher.
 */
class EngineKvManager
{
public:
    EngineKvManager(std::uint64_t memoryTokens, ReservationLimits limits);

    /// Starts managing with an empty table, because this host became the dispatcher.
    void activate(TimePoint now);
    /// Stops managing, because another host becomes the dispatcher.
    void deactivate();
    bool isActive() const;

    /// Handles a new reservation or a renewal; returns whether it is granted.
    bool reserve(const ReserveMemory &event, TimePoint now);

    /// Each of these four functions returns the blocks to free.
    std::vector<KvBlock> release(const ReleaseMemory &event, TimePoint now);
    std::vector<KvBlock> addBlock(const BlockAdded &event, TimePoint now);
    std::vector<KvBlock> handleBlockList(const std::vector<KvBlock> &blocks, TimePoint now);
    std::vector<KvBlock> tick(TimePoint now);

    /// Records the epoch that the engine reports. A new epoch means that the engine restarted and lost its blocks, so renewals
    /// of the present owners are refused.
    void updateEngineEpoch(std::uint64_t epoch);

private:
    /// Starts over if no event arrived for longer than maxPause; returns false if not active.
    bool checkActive(TimePoint now);
    /// Takes the blocks to free from \p actions and those left from earlier reservations.
    std::vector<KvBlock> takeBlocksToFree(const ReservationActions &actions);

    std::uint64_t m_memoryTokens;
    ReservationLimits m_limits;
    std::optional<ReservationTable> m_table; ///< Set while active.
    OrphanCollector m_orphans;
    std::vector<KvBlock> m_blocksToFree; ///< Blocks of reservations that expired while another reservation was handled.
    std::unordered_set<AttemptId> m_ownersWithLostBlocks; ///< Owners whose blocks the engine lost.
    std::uint64_t m_epoch = 0;
    TimePoint m_lastEvent;
};

}
