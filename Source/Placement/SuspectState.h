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
    std::vector<CrashId> crashes; ///< Crashes while a request with the suspect ran, without those that are cleared; ascending.
    std::vector<CrashId> cleared; ///< Crashes that the suspect did not cause, because requests with it ran without harm later; ascending.
    std::uint32_t trials = 0; ///< Requests that were admitted to test the suspect while it was held.
    std::uint32_t clearedTrials = 0; ///< Those of the trials that came before the last success, or whose request was never sent.

    /// Adds a crash unless it is cleared.
    void addCrash(CrashId crash);
    /// Records a success, which clears all crashes.
    void clear();
    /// Adds what \p other knows.
    void merge(const SuspectState &other);
    /// Whether \p other lists a crash that is cleared here.
    bool refutes(const SuspectState &other) const;

    friend bool operator==(const SuspectState &, const SuspectState &) = default;
};

}
