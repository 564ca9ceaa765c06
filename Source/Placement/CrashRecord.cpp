#include "Placement/CrashRecord.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

// Breaks without a completion in between after which a request is taken to be their cause.
constexpr std::uint32_t maxBreaks = 3;
constexpr std::chrono::seconds retention{60}; // After the last break.
constexpr std::size_t maxEntries = 10'000;
// Upstreams restart within a few seconds.
constexpr std::chrono::seconds firstTrialPause{4};
// Bounds how many more upstreams a request can crash after it has been quarantined.
constexpr std::uint32_t maxTrials = 3;

}

void CrashRecord::recordBreak(std::uint64_t fingerprint, TimePoint now)
{
    if (m_entries.size() >= maxEntries) {
        expire(now);
    }
    Entry &entry = m_entries[fingerprint];
    if (entry.lastBreak + retention < now) {
        entry = Entry();
    }
    ++entry.breaks;
    entry.lastBreak = now;
    entry.nextTrial = now + firstTrialPause * (1U << entry.trials);
}

void CrashRecord::recordCompletion(std::uint64_t fingerprint)
{
    m_entries.erase(fingerprint);
}

bool CrashRecord::admit(std::uint64_t fingerprint, TimePoint now)
{
    if (quarantineTime(fingerprint, now) > Duration::zero()) {
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

Duration CrashRecord::quarantineTime(std::uint64_t fingerprint, TimePoint now) const
{
    const auto position = m_entries.find(fingerprint);
    if (position == m_entries.end() || position->second.breaks < maxBreaks) {
        return Duration::zero();
    }
    const Entry &entry = position->second;
    const TimePoint until = entry.trials < maxTrials ? entry.nextTrial : entry.lastBreak + retention;
    return std::max<Duration>(until - now, Duration::zero());
}

void CrashRecord::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        return entry.second.lastBreak + retention < now;
    });
    if (m_entries.size() >= maxEntries) {
        m_entries.erase(m_entries.begin());
    }
}

}
