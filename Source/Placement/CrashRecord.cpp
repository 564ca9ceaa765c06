#include "Placement/CrashRecord.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// A request that broke off on three upstreams in a row is taken to be the cause.
constexpr std::uint32_t maxBreaks = 3;
constexpr std::chrono::seconds memory{60};
constexpr std::size_t maxEntries = 10'000;
// Upstreams restart within a few seconds. A request that does crash them may reach them three times more after it is known.
constexpr std::chrono::seconds firstTrialPause{4};
constexpr std::uint32_t maxTrials = 3;

}

void CrashRecord::broken(std::uint64_t fingerprint, TimePoint now)
{
    if (m_entries.size() >= maxEntries) {
        expire(now);
    }
    Entry &entry = m_entries[fingerprint];
    if (entry.last + memory < now) {
        entry = Entry();
    }
    ++entry.breaks;
    entry.last = now;
    entry.nextTrial = now + firstTrialPause * (1U << entry.trials);
}

void CrashRecord::completed(std::uint64_t fingerprint)
{
    m_entries.erase(fingerprint);
}

bool CrashRecord::admit(std::uint64_t fingerprint, TimePoint now)
{
    if (heldFor(fingerprint, now) > Duration::zero()) {
        return false;
    }
    const auto position = m_entries.find(fingerprint);
    if (position != m_entries.end() && position->second.breaks >= maxBreaks) {
        Entry &entry = position->second;
        ++entry.trials;
        entry.nextTrial = now + firstTrialPause * (1U << entry.trials);
    }
    return true;
}

Duration CrashRecord::heldFor(std::uint64_t fingerprint, TimePoint now) const
{
    const auto position = m_entries.find(fingerprint);
    if (position == m_entries.end() || position->second.breaks < maxBreaks) {
        return Duration::zero();
    }
    const Entry &entry = position->second;
    const TimePoint until = entry.trials < maxTrials ? entry.nextTrial : entry.last + memory;
    return std::max<Duration>(until - now, Duration::zero());
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
