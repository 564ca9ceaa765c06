#pragma once

#include "Experiment/PromptRequest.h"

#include <cstdint>
#include <vector>

namespace Mangofall::Experiment {

struct Scenario;

/// The requests of a scenario in the order of their arrival. The same seed yields the same requests.
std::vector<PromptRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed);

}
