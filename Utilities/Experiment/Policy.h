#pragma once

#include <string>
#include <vector>

namespace Mangofall::Experiment {

/**
 * \class Policy
 * \brief A way to place prompts on engines that the command compares.
 */
struct Policy {
    std::string name;
    bool byCost = true; ///< EngineSelector; otherwise the engine with the most free slots takes the whole prompt.
    bool perHost = false; ///< Every entry host places by itself and learns the others' grants late; otherwise one host places all.
};

std::vector<Policy> standardPolicies();

}
