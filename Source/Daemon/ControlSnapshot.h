#pragma once

#include "Base/Ids.h"
#include "Config/FleetConfiguration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Mangofall {

/**
 * \class PeerAddress
 * \brief Where a host's peer listener is reached.
 */
struct PeerAddress {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
};

/**
 * \class RoutingIndex
 * \brief Look-up tables of one configuration, for the path of a request.
 */
class RoutingIndex
{
public:
    explicit RoutingIndex(std::shared_ptr<const FleetConfiguration> configuration);

    const FleetConfiguration &configuration() const;
    const Preset &preset() const;

    /// Null if no organisation has this key.
    const OrganisationSpec *organisationOfKey(const std::string &apiKey) const;

    /// Route with the longest matching prefix; null if there is none.
    const RouteSpec *routeOf(std::string_view path) const;

    /// Upstreams that serve \p model or \p service; empty if unknown.
    const std::vector<const UpstreamSpec *> &upstreamsOf(const ModelId &model) const;
    const std::vector<const UpstreamSpec *> &upstreamsOf(const ServiceId &service) const;

    /// Whether operators took the upstream or its data centre out of service.
    bool isOutOfService(const UpstreamSpec &upstream) const;

    std::vector<ModelId> models() const;

private:
    std::shared_ptr<const FleetConfiguration> m_configuration;
    const Preset *m_preset = nullptr;
    std::unordered_map<std::string, const OrganisationSpec *> m_organisationsByKeyHash;
    std::unordered_map<ModelId, std::vector<const UpstreamSpec *>> m_byModel;
    std::unordered_map<ServiceId, std::vector<const UpstreamSpec *>> m_byService;
};

/**
 * \class ControlSnapshot
 * \brief What traffic threads know of control state; replaced as a whole, never changed.
 */
struct ControlSnapshot {
    std::shared_ptr<const RoutingIndex> routing; ///< Null until a configuration is known.
    std::unordered_map<UpstreamId, HostId> dispatchers; ///< Owner of each upstream; absent if its data centre has no live host.
    std::unordered_map<HostId, PeerAddress> peers; ///< Live hosts other than this one.
    bool admitting = false; ///< Whether new requests are accepted.
    bool ready = false; ///< Whether the balancer may send requests; fails before admitting ends.
    bool leaving = false; ///< Whether this host refuses new requests because it shuts down.
    bool dispatching = true; ///< False after a pause until the view of membership is renewed.
};

}
