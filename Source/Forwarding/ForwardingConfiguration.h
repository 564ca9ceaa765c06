#pragma once

#include "Forwarding/OrganisationRule.h"
#include "Forwarding/RouteRule.h"
#include "Http/HttpServerLimits.h"
#include "Placement/ServiceSpec.h"

#include <cstdint>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class ForwardingConfiguration
 * \brief One version of the operator's configuration: routes, services, organisations and limits for callers.
 */
struct ForwardingConfiguration {
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<Placement::ServiceSpec> services;
    std::vector<OrganisationRule> organisations;
    bool requiresCredentials = false; ///< True if organisations are configured: routes that are not public then need a credential.
    HttpServerLimits callerLimits;
};

}
