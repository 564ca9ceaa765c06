#include "Daemon/EngineKvManager.h"

#include <utility>

namespace Mangofall {

namespace {

// Ticks arrive every 50 ms. Peers take over the engines of a host that is silent for longer than this.
constexpr std::chrono::seconds maxPause{2};

}

EngineKvManager::EngineKvManager(std::uint64_t memoryTokens, ReservationLimits limits)
    : m_memoryTokens(memoryTokens)
    , m_limits(limits)
    , m_orphans(limits.orphanGrace)
{
}

void EngineKvManager::activate(TimePoint now)
{
    m_table.emplace(m_memoryTokens, now, m_limits);
    m_orphans = OrphanCollector(m_limits.orphanGrace);
    m_blocksToFree.clear();
    m_ownersWithLostBlocks.clear();
    m_lastEvent = now;
}

void EngineKvManager::deactivate()
{
    m_table.reset();
}

bool EngineKvManager::isActive() const
{
    return m_table.has_value();
}

bool EngineKvManager::reserve(const ReserveMemory &event, TimePoint now)
{
    if (!checkActive(now) || m_ownersWithLostBlocks.contains(event.owner)) {
        return false;
    }
    bool granted = false;
    for (const ReservationAction &action : m_table->handle(event, now)) {
        if (const auto *answer = std::get_if<ReservationAnswered>(&action)) {
            granted = answer->granted;
        } else {
            m_blocksToFree.push_back(std::get<FreeBlock>(action).block);
        }
    }
    return granted;
}

std::vector<KvBlock> EngineKvManager::release(const ReleaseMemory &event, TimePoint now)
{
    m_ownersWithLostBlocks.erase(event.owner);
    return checkActive(now) ? takeBlocksToFree(m_table->handle(event, now)) : std::vector<KvBlock>();
}

std::vector<KvBlock> EngineKvManager::addBlock(const BlockAdded &event, TimePoint now)
{
    return checkActive(now) ? takeBlocksToFree(m_table->handle(event, now)) : std::vector<KvBlock>();
}

std::vector<KvBlock> EngineKvManager::handleBlockList(const std::vector<KvBlock> &blocks, TimePoint now)
{
    std::vector<KvBlock> blocksToFree;
    if (!checkActive(now)) {
        return blocksToFree;
    }
    for (FreeBlock &orphan : m_orphans.handle(HeldBlocksListed{blocks, m_table->owners()}, now)) {
        blocksToFree.push_back(std::move(orphan.block));
    }
    return blocksToFree;
}

std::vector<KvBlock> EngineKvManager::tick(TimePoint now)
{
    return checkActive(now) ? takeBlocksToFree(m_table->handle(ReservationTick{}, now)) : std::vector<KvBlock>();
}

void EngineKvManager::updateEngineEpoch(std::uint64_t epoch)
{
    if (m_epoch != 0 && epoch != m_epoch && m_table) {
        m_ownersWithLostBlocks.merge(m_table->owners());
    }
    m_epoch = epoch;
}

bool EngineKvManager::checkActive(TimePoint now)
{
    if (m_table && now - m_lastEvent > maxPause) {
        activate(now);
    }
    m_lastEvent = now;
    return isActive();
}

std::vector<KvBlock> EngineKvManager::takeBlocksToFree(const ReservationActions &actions)
{
    std::vector<KvBlock> blocksToFree = std::exchange(m_blocksToFree, {});
    for (const ReservationAction &action : actions) {
        if (const auto *freed = std::get_if<FreeBlock>(&action)) {
            blocksToFree.push_back(freed->block);
        }
    }
    return blocksToFree;
}

}
