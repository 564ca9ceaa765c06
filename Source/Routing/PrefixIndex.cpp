#include "Routing/PrefixIndex.h"

#include "Base/Hash.h"

namespace Mangofall {

PrefixIndex::PrefixIndex(std::size_t maxEntries)
    : m_maxEntries(maxEntries)
{
}

std::size_t PrefixIndex::KeyHash::operator()(const Key &key) const noexcept
{
    constexpr std::uint64_t goldenRatio = 0x9E3779B97F4A7C15ULL;
    return key.upstream ^ (key.block * goldenRatio);
}

void PrefixIndex::recordRoute(const UpstreamId &upstream, std::span<const std::uint64_t> blocks)
{
    const std::uint64_t hash = hash64(upstream.value());
    // Inserted in reverse order, so that the leading blocks are evicted last: a block is of no use without the blocks before it.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        insert({hash, *block});
    }
}

std::size_t PrefixIndex::cachedBlocks(const UpstreamId &upstream, std::span<const std::uint64_t> blocks)
{
    const std::uint64_t hash = hash64(upstream.value());
    std::size_t count = 0;
    while (count < blocks.size() && m_entries.contains({hash, blocks[count]})) {
        ++count;
    }
    recordRoute(upstream, blocks.first(count));
    return count;
}

void PrefixIndex::apply(const CacheEvent &event)
{
    const std::uint64_t hash = hash64(event.upstream.value());
    const auto [lastSequence, inserted] = m_lastSequence.try_emplace(hash, event.sequence);
    if (!inserted) {
        if (event.sequence <= lastSequence->second) {
            return;
        }
        if (event.sequence != lastSequence->second + 1) {
            dropEntries(hash);
        }
        lastSequence->second = event.sequence;
    }
    switch (event.kind) {
    case CacheEventKind::Stored:
        insert({hash, event.block});
        break;
    case CacheEventKind::Removed:
        remove({hash, event.block});
        break;
    case CacheEventKind::Cleared:
        dropEntries(hash);
        break;
    }
}

void PrefixIndex::forget(const UpstreamId &upstream)
{
    const std::uint64_t hash = hash64(upstream.value());
    dropEntries(hash);
    m_lastSequence.erase(hash);
}

std::size_t PrefixIndex::entryCount() const
{
    return m_entries.size();
}

void PrefixIndex::insert(const Key &key)
{
    if (m_maxEntries == 0) {
        return;
    }
    if (const auto entry = m_entries.find(key); entry != m_entries.end()) {
        m_recency.splice(m_recency.begin(), m_recency, entry->second);
        return;
    }
    if (m_entries.size() == m_maxEntries) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
    m_recency.push_front(key);
    m_entries.emplace(key, m_recency.begin());
}

void PrefixIndex::remove(const Key &key)
{
    if (const auto entry = m_entries.find(key); entry != m_entries.end()) {
        m_recency.erase(entry->second);
        m_entries.erase(entry);
    }
}

void PrefixIndex::dropEntries(std::uint64_t upstream)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        if (entry.first.upstream != upstream) {
            return false;
        }
        m_recency.erase(entry.second);
        return true;
    });
}

}
