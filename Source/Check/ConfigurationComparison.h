#pragma once

#include "Forwarding/ForwardingConfiguration.h"

#include <string>
#include <vector>

namespace Mangofall::Check {

enum class DifferenceKind {
    Added,
    Removed,
    Changed,
};

enum class DifferenceSubject {
    Route,
    Service,
    Organisation,
    Credential,
    Limit,
};

/**
 * \class Difference
 * \brief One difference between the configuration in force and a new one. Hosts apply every difference without a restart.
 */
struct Difference {
    DifferenceSubject subject = DifferenceSubject::Route;
    DifferenceKind kind = DifferenceKind::Changed;
    std::string name; ///< Of the subject. For a credential, its organisation and its position; credentials are never shown.
    std::vector<std::string> details; ///< Fields that changed, with both values.
    std::string effect; ///< Who loses access; empty if nobody does.

    friend bool operator==(const Difference &, const Difference &) = default;
};

/// The differences from \p inForce to \p next: routes, services, organisations, credentials, limits, each ordered by name.
std::vector<Difference> compare(const Forwarding::ForwardingConfiguration &inForce, const Forwarding::ForwardingConfiguration &next);

}
