#pragma once

#include "Config/UpstreamSpec.h"
#include "Daemon/ControlSnapshot.h"
#include "Engines/LongPromptPlanner.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/// Whether a prompt needs more KV memory than even the largest of \p engines has; false if there are no engines.
bool exceedsEveryEngine(std::uint64_t promptTokens, const std::vector<const UpstreamSpec *> &engines);

/// The KV memory, in tokens, that the planner may use at each engine of \p model. Engines out of service or without a
/// dispatcher have none free.
std::vector<EngineMemory> engineMemories(const ControlSnapshot &snapshot, const ModelId &model);

}
