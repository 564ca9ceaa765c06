#pragma once

#include "Placement/PlacementOptions.h"

#include <string>
#include <vector>

namespace Mangofall::Experiment {

/**
 * \class Policy
 * \brief A way to assign prompts to engines, as mangofall-experiment compares them.
 */
struct Policy {
    std::string name;
    bool byCost = true; ///< Assign by cost with EngineSelector; otherwise the engine with the most free slots gets the whole prompt.
    bool perHost = false; ///< Each entry host places its own requests and learns the grants of others late; otherwise one host places all requests.
    Placement::PlacementOptions options{}; ///< Parts of placement that a deployment can enable.
};

std::vector<Policy> standardPolicies();

}
