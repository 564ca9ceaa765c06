#pragma once

#include "Experiment/PromptRequest.h"

#include <cstdint>
#include <vector>

namespace Mangofall::Experiment {

struct Scenario;

/// The requests of a scenario in order of arrival; the same seed yields the same requests.
std::vector<PromptRequest> makeWorkload(const Scenario &scenario, std::uint64_t seed);

}
