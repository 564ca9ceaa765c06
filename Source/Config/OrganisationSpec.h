#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall {

/**
 * \class OrganisationSpec
 * \brief API key, weight and fleet-wide limits of an organisation, as declared in the fleet configuration.
 */
struct OrganisationSpec {
    OrganisationId id;
    std::string apiKeyHash; ///< Hexadecimal SHA-256 of the bearer token; the token itself is never stored.
    std::uint32_t weight = 1; ///< Share relative to other organisations when their requests compete.
    double requestsPerSecond = 0; ///< Fleet-wide limit on requests per second; 0 means no limit.
    std::uint64_t tokensInFlight = 0; ///< Fleet-wide limit on prompt tokens in flight; 0 means no limit.

    friend bool operator==(const OrganisationSpec &, const OrganisationSpec &) = default;
};

}
