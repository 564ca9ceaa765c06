#pragma once

#include "Config/UpstreamSpec.h"
#include "Daemon/ControlSnapshot.h"
#include "Engines/LongPromptPlanner.h"

#include <cstdint>
#include <vector>

namespace Mangofall {

/// Whether a prompt needs more memory than each of \p engines has; false without engines.
bool exceedsEveryEngine(std::uint64_t promptTokens, const std::vector<const UpstreamSpec *> &engines);

/// What the planner may use of the engines of \p model: nothing free at those out of service or without dispatcher.
std::vector<EngineMemory> engineMemories(const ControlSnapshot &snapshot, const ModelId &model);

}
