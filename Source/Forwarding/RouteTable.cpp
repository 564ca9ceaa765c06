#include "Forwarding/RouteTable.h"

#include "Base/Sha256.h"

namespace Mangofall::Forwarding {

RouteTable::RouteTable(ForwardingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const RouteRule &route : m_configuration.routes) {
        m_routes[route.hostName][route.pathPrefix] = &route;
    }
    for (const OrganisationRule &organisation : m_configuration.organisations) {
        for (const std::string &credential : organisation.credentials) {
            m_organisations[sha256Hex(credential)] = &organisation;
        }
    }
}

const ForwardingConfiguration &RouteTable::configuration() const
{
    return m_configuration;
}

const RouteRule *RouteTable::findRoute(std::string_view hostName, std::string_view path) const
{
    const auto routes = m_routes.find(std::string(hostName));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    // Configured prefixes end with a slash, so only prefixes of the path that do are looked up, the longest first.
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto route = routes->second.find(path.substr(0, end + 1));
        if (route != routes->second.end()) {
            return route->second;
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

const OrganisationRule *RouteTable::findOrganisation(std::string_view credential) const
{
    const auto position = m_organisations.find(sha256Hex(credential));
    return position == m_organisations.end() ? nullptr : position->second;
}

}
