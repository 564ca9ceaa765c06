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
 * \brief Network address of a host's peer listener.
 */
struct PeerAddress {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
};

/**
 * \class RoutingIndex
 * \brief Look-up tables of one configuration revision, used to route requests.
 */
class RoutingIndex
{
public:
    explicit RoutingIndex(std::shared_ptr<const FleetConfiguration> configuration);

    const FleetConfiguration &configuration() const;
    const Preset &preset() const;

    /// Returns the organisation whose API key is \p apiKey; null if there is none.
    const OrganisationSpec *organisationOfKey(const std::string &apiKey) const;

    /// Returns the route with the longest prefix that matches \p path; null if there is none.
    const RouteSpec *routeOf(std::string_view path) const;

    /// Return the upstreams that serve \p model or \p service; empty if it is unknown.
    const std::vector<const UpstreamSpec *> &upstreamsOf(const ModelId &model) const;
    const std::vector<const UpstreamSpec *> &upstreamsOf(const ServiceId &service) const;

    /// Returns whether operators took \p upstream or its data centre out of service.
    bool isOutOfService(const UpstreamSpec &upstream) const;

    std::vector<ModelId> models() const;

private:
    std::shared_ptr<const FleetConfiguration> m_configuration;
    const Preset *m_preset = nullptr;
    std::unordered_map<std::string, const OrganisationSpec *> m_organisationsByKeyHash;
    std::unordered_map<ModelId, std::vector<const UpstreamSpec *>> m_upstreamsByModel;
    std::unordered_map<ServiceId, std::vector<const UpstreamSpec *>> m_upstreamsByService;
};

/**
 * \class ControlSnapshot
 * \brief Immutable copy of the control state that traffic threads use; each change publishes a new snapshot.
 */
struct ControlSnapshot {
    std::shared_ptr<const RoutingIndex> routing; ///< Null until a configuration has been adopted.
    std::unordered_map<UpstreamId, HostId> dispatchers; ///< Host that dispatches each upstream; absent if the data centre of the upstream has no live host.
    std::unordered_map<HostId, PeerAddress> peers; ///< Live hosts other than this one.
    bool admitting = false; ///< Whether new requests are accepted.
    bool ready = false; ///< Whether the balancer may send requests; becomes false before this host refuses new requests.
    bool leaving = false; ///< Whether this host refuses new requests because it shuts down.
    bool dispatching = true; ///< Whether this host may dispatch; false after it was paused, until its view of the membership is renewed.
};

}
