#include "Forwarding/UpstreamNotices.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Bounds the memory for upstreams that this host does not have in its list, whose notices nobody forgets.
constexpr std::size_t maxEntries = 20'000;

}

void UpstreamNotices::record(const UpstreamId &upstream, const Placement::UpstreamNotice &notice, TimePoint now)
{
    if (m_entries.size() >= maxEntries) {
        std::erase_if(m_entries, [&](const auto &entry) {
            return !entry.second.leaving && entry.second.pausedUntil <= now;
        });
    }
    Entry &entry = m_entries[upstream];
    entry.leaving = entry.leaving || notice.leaving;
    entry.pausedUntil = std::max(entry.pausedUntil, now + notice.pause);
}

void UpstreamNotices::forget(const UpstreamId &upstream)
{
    m_entries.erase(upstream);
}

bool UpstreamNotices::leaving(const UpstreamId &upstream) const
{
    const auto entry = m_entries.find(upstream);
    return entry != m_entries.end() && entry->second.leaving;
}

bool UpstreamNotices::refuses(const UpstreamId &upstream, TimePoint now) const
{
    const auto entry = m_entries.find(upstream);
    return entry != m_entries.end() && (entry->second.leaving || now < entry->second.pausedUntil);
}

}
