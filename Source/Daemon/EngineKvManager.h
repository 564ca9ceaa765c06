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
 * \brief A dispatcher's decisions on the KV memory of its engine: who may reserve, and which blocks to free.
 *
 * Between end() and begin() it grants and frees nothing, because renewals go to another dispatcher. After a pause of
 * this process the same may have happened unnoticed, so it starts over as a new dispatcher.
 */
class EngineKvManager
{
public:
    EngineKvManager(std::uint64_t memoryTokens, ReservationLimits limits);

    /// This host became the dispatcher.
    void activate(TimePoint now);
    /// Another host becomes the dispatcher.
    void deactivate();
    bool isActive() const;

    /// Whether the reservation is granted.
    bool reserve(const ReserveMemory &event, TimePoint now);

    /// Each of these returns the blocks to free.
    std::vector<KvBlock> release(const ReleaseMemory &event, TimePoint now);
    std::vector<KvBlock> addBlock(const BlockAdded &event, TimePoint now);
    std::vector<KvBlock> handleBlockList(const std::vector<KvBlock> &blocks, TimePoint now);
    std::vector<KvBlock> tick(TimePoint now);

    /// An engine with a new epoch lost its blocks, so the present owners' renewals are refused.
    void updateEngineEpoch(std::uint64_t epoch);

private:
    /// Starts over if events stayed away for too long; false if not active.
    bool checkActive(TimePoint now);
    /// The blocks that \p actions and earlier reservations free.
    std::vector<KvBlock> takeBlocksToFree(const ReservationActions &actions);

    std::uint64_t m_memoryTokens;
    ReservationLimits m_limits;
    std::optional<ReservationTable> m_table; ///< Set while active.
    OrphanCollector m_orphans;
    std::vector<KvBlock> m_blocksToFree; ///< Blocks of reservations that expired while another was handled.
    std::unordered_set<AttemptId> m_ownersWithLostBlocks; ///< Owners whose blocks the engine lost.
    std::uint64_t m_epoch = 0;
    TimePoint m_lastEvent;
};

}
