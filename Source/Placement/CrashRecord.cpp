#include "Placement/CrashRecord.h"

namespace Mangofall::Placement {

namespace {

// A request that broke off on three upstreams in a row is taken to be the cause.
constexpr std::uint32_t maxBreaks = 3;
constexpr std::chrono::seconds memory{60};
constexpr std::size_t maxEntries = 10'000;

}

void CrashRecord::broken(std::uint64_t fingerprint, TimePoint now)
{
    if (m_entries.size() >= maxEntries) {
        expire(now);
    }
    Entry &entry = m_entries[fingerprint];
    entry.breaks = entry.last + memory < now ? 1 : entry.breaks + 1;
    entry.last = now;
}

void CrashRecord::completed(std::uint64_t fingerprint)
{
    m_entries.erase(fingerprint);
}

bool CrashRecord::mayRun(std::uint64_t fingerprint, TimePoint now) const
{
    const auto position = m_entries.find(fingerprint);
    return position == m_entries.end() || position->second.breaks < maxBreaks || position->second.last + memory < now;
}

void CrashRecord::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        return entry.second.last + memory < now;
    });
    if (m_entries.size() >= maxEntries) {
        m_entries.erase(m_entries.begin());
    }
}

}
