#pragma once

#include "Experiment/PromptRequest.h"

#include <cstddef>
#include <vector>

namespace Mangofall::Experiment {

struct Scenario;

/// The result of a group of requests.
struct GroupResult {
    std::size_t requests = 0;
    double credit = 1; ///< Credit earned as a share of the credit owed, which is that of answers on time to all requests.
    double served = 1; ///< Share of the requests that were answered, on time or late.
    /// Share of the credit owed for requests that were neither answered nor assigned to an engine within their target, weighted by their wait.
    double creditLostWaiting = 0;
    double onTime = 1; ///< Share of the requests whose first event came within the target and whose pauses kept the limit.
    double late = 0; ///< Share of the requests that were answered, but not on time.
    double firstEventP99 = 0; ///< 99th percentile of the time until the first event, over the answered requests, in seconds.
};

/**
 * \class CreditReport
 * \brief The result of one run, for all requests and for groups that a policy could neglect.
 */
struct CreditReport {
    GroupResult all;
    std::vector<GroupResult> kinds; ///< One for each kind, in the order of the scenario.
    std::vector<GroupResult> longestTenths; ///< One for each kind: its longest tenth of prompts.
    std::vector<GroupResult> beyondOneEngine; ///< One for each kind: its prompts that exceed the KV memory of one engine.
    GroupResult worstOrganisation; ///< The lowest credit among organisations with at least a twentieth of the mean number of requests.
    GroupResult worstDataCentre; ///< The lowest credit among the data centres of the entry hosts.
};

CreditReport makeCreditReport(const Scenario &scenario, const std::vector<PromptRequest> &requests);

}
