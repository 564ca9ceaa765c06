#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class OrganisationRule
 * \brief An organisation and the credentials of its callers.
 */
struct OrganisationRule {
    OrganisationId id;
    std::vector<std::string> credentials;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
};

}
