#include "Daemon/ControlSnapshot.h"

#include "Base/Sha256.h"

namespace Mangofall {

namespace {

const std::vector<const UpstreamSpec *> noUpstreams;

template<class Map, class Key>
const std::vector<const UpstreamSpec *> &find(const Map &map, const Key &key)
{
    const auto position = map.find(key);
    return position == map.end() ? noUpstreams : position->second;
}

}

RoutingIndex::RoutingIndex(std::shared_ptr<const FleetConfiguration> configuration)
    : m_configuration(std::move(configuration))
    , m_preset(&m_configuration->presets.at(m_configuration->presetInForce))
{
    for (const auto &[id, organisation] : m_configuration->organisations) {
        m_organisationsByKeyHash.emplace(organisation.apiKeyHash, &organisation);
    }
    for (const auto &[id, upstream] : m_configuration->upstreams) {
        if (upstream.kind == UpstreamKind::Engine) {
            m_upstreamsByModel[upstream.model].push_back(&upstream);
        } else {
            m_upstreamsByService[upstream.service].push_back(&upstream);
        }
    }
}

const FleetConfiguration &RoutingIndex::configuration() const
{
    return *m_configuration;
}

const Preset &RoutingIndex::preset() const
{
    return *m_preset;
}

const OrganisationSpec *RoutingIndex::organisationOfKey(const std::string &apiKey) const
{
    const auto position = m_organisationsByKeyHash.find(sha256Hex(apiKey));
    return position == m_organisationsByKeyHash.end() ? nullptr : position->second;
}

const RouteSpec *RoutingIndex::routeOf(std::string_view path) const
{
    const RouteSpec *best = nullptr;
    for (const RouteSpec &route : m_configuration->routes) {
        if (path.starts_with(route.pathPrefix) && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const std::vector<const UpstreamSpec *> &RoutingIndex::upstreamsOf(const ModelId &model) const
{
    return find(m_upstreamsByModel, model);
}

const std::vector<const UpstreamSpec *> &RoutingIndex::upstreamsOf(const ServiceId &service) const
{
    return find(m_upstreamsByService, service);
}

bool RoutingIndex::isOutOfService(const UpstreamSpec &upstream) const
{
    const OutOfService &out = m_configuration->outOfService;
    return out.upstreams.contains(upstream.id) || out.dataCentres.contains(upstream.dataCentre);
}

std::vector<ModelId> RoutingIndex::models() const
{
    std::vector<ModelId> models;
    models.reserve(m_upstreamsByModel.size());
    for (const auto &[model, upstreams] : m_upstreamsByModel) {
        models.push_back(model);
    }
    return models;
}

}
