#pragma once

#include "Base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace Mangofall {

/// Kind of a change of an engine's prefix cache.
enum class CacheEventKind : std::uint8_t {
    Stored,
    Removed,
    Cleared, ///< The engine dropped its whole cache.
};

/**
 * \class CacheEvent
 * \brief A change of an engine's prefix cache. Events may arrive late, and some may be missing.
 */
struct CacheEvent {
    UpstreamId upstream;
    std::uint64_t sequence = 0; ///< Increases by one per event of the upstream.
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t block = 0; ///< Chained hash of the stored or removed block.
};

/**
 * \class PrefixIndex
 * \brief Prompt blocks that each upstream has presumably cached; keeps the most recently used entries.
 *
 * Entries come from the requests that this host routes and are corrected by cache events. An event whose sequence number is not above the last one is ignored.
 * After a gap in the sequence, removals may be missing, so all entries of that upstream are dropped.
 */
class PrefixIndex
{
public:
    /// \p maxEntries limits the memory to maxEntries * bytesPerEntry bytes.
    explicit PrefixIndex(std::size_t maxEntries);

    /// Upper estimate of the heap memory of one entry, in bytes: list node, hash map node and bucket.
    static constexpr std::size_t bytesPerEntry = 96;

    /// Adds or renews the entries of \p blocks, the leading blocks of a prompt that was routed to \p upstream.
    void recordRoute(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    /// Number of leading \p blocks that \p upstream has presumably cached; makes them the most recently used entries.
    std::size_t cachedBlocks(const UpstreamId &upstream, std::span<const std::uint64_t> blocks);

    void apply(const CacheEvent &event);

    /// Drops all entries of \p upstream and its last event sequence number.
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
    std::unordered_map<std::uint64_t, std::uint64_t> m_lastSequence; ///< By hash of the upstream's id.
};

}
