#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Mangofall::Placement {

/// Identifies what requests have in common that may crash upstreams, such as their fingerprint.
using SuspectId = std::uint64_t;

/// The suspect as log lines and keys of the store show it.
std::string suspectName(SuspectId suspect);

/// Identifies one end of one upstream's process.
using CrashId = std::uint64_t;

/**
 * \class SuspectState
 * \brief What is known about one suspect. States of several hosts can be merged in any order and any number of times.
 */
struct SuspectState {
    SuspectId suspect = 0;
    std::uint32_t clearances = 0; ///< How often a success has shown the suspect harmless. The state with more of them replaces the others.
    std::uint32_t trials = 0; ///< Requests that were admitted to test a held suspect, since the last clearance.
    std::vector<CrashId> crashes; ///< Crashes while a request with the suspect ran, since the last clearance; ascending.

    friend bool operator==(const SuspectState &, const SuspectState &) = default;
};

}
