#include "Engines/OrphanCollector.h"

#include <utility>

namespace Mangofall {

OrphanCollector::OrphanCollector(Duration gracePeriod)
    : m_gracePeriod(gracePeriod)
{
}

std::vector<FreeBlock> OrphanCollector::handle(const HeldBlocksListed &event, TimePoint now)
{
    std::vector<FreeBlock> freeable;
    std::unordered_map<KvBlockId, TimePoint> orphans;
    for (const KvBlock &block : event.blocks) {
        if (event.liveOwners.contains(block.owner)) {
            continue;
        }
        const auto known = m_orphanedSince.find(block.id);
        const TimePoint since = known == m_orphanedSince.end() ? now : known->second;
        orphans.emplace(block.id, since);
        if (now - since >= m_gracePeriod) {
            freeable.push_back({block});
        }
    }
    m_orphanedSince = std::move(orphans);
    return freeable;
}

}
