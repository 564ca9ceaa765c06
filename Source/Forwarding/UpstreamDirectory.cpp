#include "Forwarding/UpstreamDirectory.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Bounds the memory that the removed ids take.
constexpr std::size_t maxRemovedIds = 10'000;

}

UpstreamDirectory::UpstreamDirectory(Duration relistPeriod)
    : m_relistPeriod(relistPeriod)
{
}

void UpstreamDirectory::listed(const ListedUpstream &upstream)
{
    m_removedIds.erase(upstream.entry.id);
    const auto known = m_upstreams.find(upstream.entry.id);
    if (known != m_upstreams.end() && !isSameStart(known->second.upstream.entry, upstream.entry)) {
        m_notices.forget(upstream.entry.id);
    }
    m_upstreams[upstream.entry.id] = KnownUpstream{upstream, std::nullopt};
}

std::optional<TimePoint> UpstreamDirectory::removed(const UpstreamId &id, TimePoint now)
{
    const auto known = m_upstreams.find(id);
    if (known == m_upstreams.end()) {
        return std::nullopt;
    }
    const bool mayBeListedAgain = m_relistPeriodStart && now < *m_relistPeriodStart + m_relistPeriod && !known->second.upstream.leaving;
    if (mayBeListedAgain) {
        known->second.keptUntil = *m_relistPeriodStart + m_relistPeriod;
        return known->second.keptUntil;
    }
    removePermanently(id);
    return std::nullopt;
}

void UpstreamDirectory::invalidated(const UpstreamId &id)
{
    if (m_upstreams.contains(id)) {
        removePermanently(id);
    }
}

void UpstreamDirectory::setOutOfService(std::set<DataCentreId> dataCentres)
{
    m_outOfService = std::move(dataCentres);
}

void UpstreamDirectory::restartRelistPeriod(TimePoint unavailableAt)
{
    m_relistPeriodStart = std::max(m_relistPeriodStart.value_or(unavailableAt), unavailableAt);
}

void UpstreamDirectory::endRelistPeriod(TimePoint now)
{
    m_relistPeriodStart.reset();
    for (auto &[id, known] : m_upstreams) {
        known.keptUntil = known.keptUntil ? std::optional(std::min(*known.keptUntil, now)) : std::nullopt;
    }
}

bool UpstreamDirectory::expire(TimePoint now)
{
    std::vector<UpstreamId> expired;
    for (const auto &[id, known] : m_upstreams) {
        if (known.keptUntil && *known.keptUntil <= now) {
            expired.push_back(id);
        }
    }
    for (const UpstreamId &id : expired) {
        removePermanently(id);
    }
    return !expired.empty();
}

std::vector<Placement::UpstreamEntry> UpstreamDirectory::entries() const
{
    std::vector<Placement::UpstreamEntry> result;
    result.reserve(m_upstreams.size());
    for (const auto &[id, known] : m_upstreams) {
        result.push_back(known.upstream.entry);
        result.back().accepting = accepting(known);
    }
    return result;
}

std::size_t UpstreamDirectory::size() const
{
    return m_upstreams.size();
}

// An upstream that this host does not know may be on a more recent version of the list.
bool UpstreamDirectory::mayUse(const UpstreamId &upstream, TimePoint now) const
{
    if (m_notices.refuses(upstream, now)) {
        return false;
    }
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end()) {
        return !m_removedIds.contains(upstream);
    }
    // The entry may be past its time although expire(), which is called at intervals, has not removed it yet.
    const bool lapsed = known->second.keptUntil && now >= *known->second.keptUntil;
    return !lapsed && accepting(known->second);
}

void UpstreamDirectory::recordNotice(const UpstreamId &upstream, const Placement::UpstreamNotice &notice, TimePoint now)
{
    m_notices.record(upstream, notice, now);
}

void UpstreamDirectory::removePermanently(const UpstreamId &id)
{
    m_upstreams.erase(id);
    m_notices.forget(id);
    if (m_removedIds.size() >= maxRemovedIds) {
        m_removedIds.erase(m_removedIds.begin());
    }
    m_removedIds.insert(id);
}

bool UpstreamDirectory::accepting(const KnownUpstream &known) const
{
    const UpstreamId &id = known.upstream.entry.id;
    return !known.upstream.leaving && !m_notices.leaving(id) && !m_outOfService.contains(known.upstream.entry.dataCentre);
}

}
