#include "Engines/OrphanCollector.h"

#include <utility>

namespace Mangofall {

OrphanCollector::OrphanCollector(Duration grace)
    : m_grace(grace)
{
}

std::vector<FreeBlock> OrphanCollector::handle(const HeldBlocksListed &event, TimePoint now)
{
    std::vector<FreeBlock> due;
    std::unordered_map<KvBlockId, TimePoint> orphans;
    for (const KvBlock &block : event.blocks) {
        if (event.liveOwners.contains(block.owner)) {
            continue;
        }
        const auto known = m_orphanSince.find(block.id);
        const TimePoint since = known == m_orphanSince.end() ? now : known->second;
        orphans.emplace(block.id, since);
        if (now - since >= m_grace) {
            due.push_back({block});
        }
    }
    m_orphanSince = std::move(orphans);
    return due;
}

}
