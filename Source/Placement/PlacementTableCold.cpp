// The part of PlacementTable that concerns the request rates of cold upstreams.
#include "Placement/PlacementTable.h"

#include <algorithm>

namespace Mangofall::Placement {

TimePoint PlacementTable::coldUntil() const
{
    return m_coldUntil;
}

std::map<ServiceId, bool> PlacementTable::coldServices(TimePoint now) const
{
    std::map<ServiceId, bool> services;
    if (now >= m_coldUntil) {
        return services;
    }
    for (const auto &[id, load] : m_upstreams) {
        if (now < load.entry().coldUntil) {
            bool &isShort = services[load.entry().service];
            isShort = isShort || load.usedUpColdShare(now);
        }
    }
    return services;
}

bool PlacementTable::isCold(const UpstreamId &upstream, TimePoint now) const
{
    const UpstreamLoad *known = load(upstream);
    return known != nullptr && now < known->entry().coldUntil;
}

void PlacementTable::useBegan(const PlacementRequestId &id, TimePoint now)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end()) {
        return;
    }
    if (UpstreamLoad *load = find(grant->second.upstream)) {
        load->useBegan(id, now);
    }
}

void PlacementTable::setColdShares(const std::map<ServiceId, ColdShare> &shares)
{
    m_otherColdShare = {0, TimePoint::max()};
    for (const auto &[service, share] : shares) {
        coldShareOf(service);
    }
    for (const auto &[service, known] : m_coldShares) {
        const auto share = shares.find(service);
        *known = share == shares.end() ? m_otherColdShare : share->second;
    }
}

double PlacementTable::coldRateOf(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? 0 : known->second.spec.coldRequestsPerSecond;
}

std::shared_ptr<const ColdShare> PlacementTable::coldShareOf(const ServiceId &service)
{
    std::shared_ptr<ColdShare> &share = m_coldShares[service];
    if (!share) {
        share = std::make_shared<ColdShare>(m_otherColdShare);
    }
    return share;
}

void PlacementTable::assumeColdRatesUsed(const ServiceId &service, TimePoint now)
{
    for (auto &[id, load] : m_upstreams) {
        if (load.entry().service == service) {
            load.assumeColdRateUsed(now);
        }
    }
}

void PlacementTable::assumeAllColdRatesUsed(TimePoint now)
{
    m_allColdRatesUsedAt = std::max(m_allColdRatesUsedAt.value_or(now), now);
    for (auto &[id, load] : m_upstreams) {
        load.assumeColdRateUsed(now);
    }
}

}
