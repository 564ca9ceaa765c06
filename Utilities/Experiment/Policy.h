#pragma once

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
    bool reserves = false; ///< Reserve engines ahead of time for prompts that exceed the KV memory of one engine.
};

std::vector<Policy> standardPolicies();

}
