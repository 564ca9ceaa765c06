#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall {

/**
 * \class OrganisationSpec
 * \brief A customer's key and fleet-wide limits, as declared in the fleet configuration.
 */
struct OrganisationSpec {
    OrganisationId id;
    std::string apiKeyHash; ///< SHA-256 of the bearer token; the token itself is never stored.
    std::uint32_t weight = 1; ///< Share under contention, relative to other organisations.
    double requestsPerSecond = 0; ///< Fleet-wide; 0 means no limit.
    std::uint64_t tokensInFlight = 0; ///< Fleet-wide prompt tokens in flight; 0 means no limit.

    friend bool operator==(const OrganisationSpec &, const OrganisationSpec &) = default;
};

}
