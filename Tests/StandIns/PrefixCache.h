#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Mangofall::StandIns {

/// Bytes of prompt text per token.
constexpr std::uint64_t bytesPerToken = 4;
/// Tokens per block of the prefix cache.
constexpr std::uint64_t blockTokens = 256;

/// Chained hashes of the full blocks of \p prompt: each is hash64 of the previous hash (8 bytes, little endian, first 0) and the block's text.
std::vector<std::uint64_t> blockHashes(std::string_view prompt);

/**
 * \class CacheEvent
 * \brief Event of a block that was added to the cache or removed from it.
 */
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = false; ///< Whether the block was added; false if it was removed.
    std::uint64_t block = 0;
    TimePoint visibleAt;
};

/**
 * \class PrefixCache
 * \brief LRU cache of prompt blocks whose event log is delayed and can lack events.
 */
class PrefixCache
{
public:
    PrefixCache(Duration eventDelay, double gapShare, std::uint64_t seed);

    /// Number of leading blocks of \p blocks that are cached; marks these as used.
    std::size_t match(const std::vector<std::uint64_t> &blocks);
    void store(const std::vector<std::uint64_t> &blocks, TimePoint now);
    /// Evicts the least recently used blocks until the cache has at most \p tokens tokens.
    void shrinkTo(std::uint64_t tokens, TimePoint now);
    /// Removes all blocks and events, as after a crash, and restarts the sequence numbers.
    void clear();
    void loseNextEvents(std::uint64_t count);

    std::uint64_t tokens() const;
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence, TimePoint now) const;

private:
    void recordEvent(bool stored, std::uint64_t block, TimePoint now);

    Duration m_eventDelay;
    double m_gapShare;
    RandomEngine m_random;
    std::list<std::uint64_t> m_recentBlocks; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_eventsToLose = 0;
};

}
