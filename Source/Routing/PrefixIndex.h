#pragma once

#include "Base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace Mangofall {

enum class CacheEventKind : std::uint8_t {
    Stored,
    Removed,
    Cleared, ///< The engine dropped its whole cache.
};

/**
 * \class CacheEvent
 * \brief A change of an engine's prefix cache; events arrive late and with gaps.
 */
struct CacheEvent {
    UpstreamId upstream;
    std::uint64_t sequence = 0; ///< Increases by one per event of the upstream.
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t block = 0; ///< Chained hash of the block.
};

/**
 * \class PrefixIndex
 * \brief Which prompt blocks each upstream is believed to have cached; keeps the most recently used ones.
 *
 * Beliefs come from this host's own routing and are corrected by cache events. An event at or below the last sequence is
 * ignored. A gap means that removals may be missing, so all beliefs about that upstream are dropped.
 */
class PrefixIndex
{
public:
    /// \p maxEntries bounds the memory at maxEntries * bytesPerEntry.
    explicit PrefixIndex(std::size_t maxEntries);

    /// Upper estimate of the heap memory of one entry: list node, hash node and bucket.
    static constexpr std::size_t bytesPerEntry = 96;

    /// Notes that a prompt with \p blocks went to \p upstream.
    void recordRoute(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    /// Number of leading \p blocks believed cached at \p upstream; renews these entries.
    std::size_t cachedBlocks(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    void apply(const CacheEvent &event);

    /// Drops all beliefs about \p upstream and its event sequence.
    void forget(const UpstreamId &upstream);

    std::size_t entryCount() const;

private:
    struct Key {
        std::uint64_t upstream = 0; ///< Hash of the upstream's id.
        std::uint64_t block = 0;

        friend bool operator==(const Key &, const Key &) = default;
    };
    struct KeyHash {
        std::size_t operator()(const Key &key) const noexcept;
    };
    using Recency = std::list<Key>; ///< Most recently used first.

    void insert(const Key &key);
    void remove(const Key &key);
    void dropEntries(std::uint64_t upstream);

    std::size_t m_maxEntries;
    Recency m_recency;
    std::unordered_map<Key, Recency::iterator, KeyHash> m_entries;
    std::unordered_map<std::uint64_t, std::uint64_t> m_lastSequence;
};

}
