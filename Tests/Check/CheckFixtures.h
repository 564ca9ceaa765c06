#pragma once

#include "Forwarding/ForwardingConfiguration.h"

#include <string>

namespace Mangofall::Testing {

inline Forwarding::RouteRule checkedRoute(const std::string &name)
{
    Forwarding::RouteRule route;
    route.name = name;
    route.hostName = "h.example";
    route.pathPrefix = "/" + name + "/";
    route.kind = Forwarding::RequestKind::Idempotent;
    route.timeout = std::chrono::seconds(10);
    route.target = std::chrono::seconds(1);
    route.maxRuns = 2;
    route.services = {{ServiceId("s"), 1}};
    return route;
}

/// A configuration without findings.
inline Forwarding::ForwardingConfiguration checkedConfiguration()
{
    Forwarding::ForwardingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = {checkedRoute("a"), checkedRoute("b")};
    configuration.services = {{ServiceId("s"), 0, {}}};
    configuration.organisations = {{OrganisationId("o"), {"secret-1"}, {}}, {OrganisationId("p"), {"secret-2", "secret-3"}, {}}};
    configuration.requiresCredentials = true;
    return configuration;
}

}
