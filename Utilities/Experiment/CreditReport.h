#pragma once

#include "Experiment/PromptRequest.h"

#include <cstddef>
#include <vector>

namespace Mangofall::Experiment {

struct Scenario;

/// What a group of requests got.
struct CreditShare {
    std::size_t requests = 0;
    double credit = 1; ///< Earned share of the credit owed.
    double served = 1; ///< Share of the requests that were answered at all.
    double heldInVain = 0; ///< Share of the credit owed by requests that waited long and were never sent, weighted by how long.
    double onTime = 1; ///< Share whose first piece came within the target and whose pauses kept the limit.
};

/**
 * \class CreditReport
 * \brief What callers got in one run, in all and for the groups that could be neglected.
 */
struct CreditReport {
    CreditShare all;
    std::vector<CreditShare> kinds; ///< In the order of the scenario.
    std::vector<CreditShare> longestTenths; ///< The longest tenth of the prompts of each kind.
    CreditShare worstOrganisation; ///< Among those with a twentieth of the mean number of requests or more.
    CreditShare worstDataCentre; ///< Of the entry hosts.
};

CreditReport makeCreditReport(const Scenario &scenario, const std::vector<PromptRequest> &requests);

}
