#include "StandIns/PrefixCache.h"

#include "Base/Hash.h"

#include <algorithm>
#include <random>
#include <string>

namespace Mangofall::StandIns {

namespace {

constexpr std::size_t maxEvents = 20'000;
constexpr int bitsPerByte = 8;
constexpr std::uint64_t byteMask = 0xFF;

}

std::vector<std::uint64_t> blockHashes(std::string_view prompt)
{
    constexpr std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t offset = 0; offset + blockBytes <= prompt.size(); offset += blockBytes) {
        std::string text;
        text.reserve(sizeof(previous) + blockBytes);
        for (std::size_t byte = 0; byte < sizeof(previous); ++byte) {
            text += static_cast<char>((previous >> (bitsPerByte * byte)) & byteMask);
        }
        text += prompt.substr(offset, blockBytes);
        previous = hash64(text);
        hashes.push_back(previous);
    }
    return hashes;
}

PrefixCache::PrefixCache(Duration eventDelay, double gapShare, std::uint64_t seed)
    : m_eventDelay(eventDelay)
    , m_gapShare(gapShare)
    , m_random(seed)
{
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &blocks)
{
    std::size_t count = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = m_blocks.find(block);
        if (found == m_blocks.end()) {
            break;
        }
        m_recentBlocks.splice(m_recentBlocks.begin(), m_recentBlocks, found->second);
        ++count;
    }
    return count;
}

void PrefixCache::store(const std::vector<std::uint64_t> &blocks, TimePoint now)
{
    for (const std::uint64_t block : blocks) {
        if (!m_blocks.contains(block)) {
            m_recentBlocks.push_front(block);
            m_blocks.emplace(block, m_recentBlocks.begin());
            recordEvent(true, block, now);
        }
    }
}

void PrefixCache::shrinkTo(std::uint64_t tokens, TimePoint now)
{
    while (this->tokens() > tokens) {
        const std::uint64_t block = m_recentBlocks.back();
        m_recentBlocks.pop_back();
        m_blocks.erase(block);
        recordEvent(false, block, now);
    }
}

void PrefixCache::clear()
{
    m_recentBlocks.clear();
    m_blocks.clear();
    m_events.clear();
    m_sequence = 0;
}

void PrefixCache::loseNextEvents(std::uint64_t count)
{
    m_eventsToLose += count;
}

std::uint64_t PrefixCache::tokens() const
{
    return m_blocks.size() * blockTokens;
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::uint64_t sequence, TimePoint now) const
{
    std::vector<CacheEvent> visible;
    std::copy_if(m_events.begin(), m_events.end(), std::back_inserter(visible), [&](const CacheEvent &event) {
        return event.sequence > sequence && event.visibleAt <= now;
    });
    return visible;
}

void PrefixCache::recordEvent(bool stored, std::uint64_t block, TimePoint now)
{
    ++m_sequence;
    if (m_eventsToLose > 0) {
        --m_eventsToLose;
        return;
    }
    if (m_gapShare > 0 && std::bernoulli_distribution(m_gapShare)(m_random)) {
        return;
    }
    m_events.push_back({m_sequence, stored, block, now + m_eventDelay});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

}
