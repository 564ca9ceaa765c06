#pragma once

#include "Forwarding/ForwardingConfiguration.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Mangofall::Forwarding {

/**
 * \class RouteTable
 * \brief Finds the route of a request and the organisation of a credential in one version of the configuration.
 *
 * Credentials are held as SHA-256 hashes, so that neither memory dumps nor the time of a comparison reveal them.
 */
class RouteTable
{
public:
    explicit RouteTable(ForwardingConfiguration configuration);

    const ForwardingConfiguration &configuration() const;

    /// The route of \p hostName with the longest prefix of \p path; null if there is none.
    const RouteRule *findRoute(std::string_view hostName, std::string_view path) const;

    /// The organisation that holds \p credential; null if none does.
    const OrganisationRule *findOrganisation(std::string_view credential) const;

private:
    ForwardingConfiguration m_configuration;
    std::unordered_map<std::string, std::map<std::string, const RouteRule *, std::less<>>> m_routes; ///< Routes by host name, then by path prefix.
    std::unordered_map<std::string, const OrganisationRule *> m_organisations; ///< Organisations by the SHA-256 hash of a credential.
};

}
