#include "Forwarding/UpstreamDirectory.h"

namespace Mangofall::Forwarding {

namespace {

// Upstreams list themselves again within two seconds after the list has come back.
constexpr std::chrono::milliseconds relistTime{2500};
// Bounds the memory for ids that are gone.
constexpr std::size_t maxGone = 10'000;

}

void UpstreamDirectory::listed(const ListedUpstream &upstream)
{
    m_gone.erase(upstream.entry.id);
    m_known[upstream.entry.id] = Known{upstream, std::nullopt};
}

void UpstreamDirectory::removed(const UpstreamId &id, TimePoint now)
{
    const auto known = m_known.find(id);
    if (known == m_known.end()) {
        return;
    }
    const bool mayComeBack = m_returnedAt && now < *m_returnedAt + relistTime && !known->second.upstream.leaving;
    if (mayComeBack) {
        known->second.removedUntil = *m_returnedAt + relistTime;
        return;
    }
    forget(id);
}

void UpstreamDirectory::setOutOfService(std::set<DataCentreId> dataCentres)
{
    m_outOfService = std::move(dataCentres);
}

void UpstreamDirectory::listRecovered(TimePoint now)
{
    m_returnedAt = now;
}

bool UpstreamDirectory::expire(TimePoint now)
{
    std::vector<UpstreamId> over;
    for (const auto &[id, known] : m_known) {
        if (known.removedUntil && *known.removedUntil <= now) {
            over.push_back(id);
        }
    }
    for (const UpstreamId &id : over) {
        forget(id);
    }
    return !over.empty();
}

std::vector<Placement::UpstreamEntry> UpstreamDirectory::entries() const
{
    std::vector<Placement::UpstreamEntry> result;
    result.reserve(m_known.size());
    for (const auto &[id, known] : m_known) {
        result.push_back(known.upstream.entry);
        result.back().accepting = accepting(known);
    }
    return result;
}

std::size_t UpstreamDirectory::size() const
{
    return m_known.size();
}

// An upstream that this host has never heard of may be new on a more recent list.
bool UpstreamDirectory::mayUse(const UpstreamId &upstream) const
{
    const auto known = m_known.find(upstream);
    return known == m_known.end() ? !m_gone.contains(upstream) : accepting(known->second);
}

void UpstreamDirectory::forget(const UpstreamId &id)
{
    m_known.erase(id);
    if (m_gone.size() >= maxGone) {
        m_gone.erase(m_gone.begin());
    }
    m_gone.insert(id);
}

bool UpstreamDirectory::accepting(const Known &known) const
{
    return !known.upstream.leaving && !m_outOfService.contains(known.upstream.entry.dataCentre);
}

}
