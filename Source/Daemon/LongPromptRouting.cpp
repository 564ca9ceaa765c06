#include "Daemon/LongPromptRouting.h"

#include <algorithm>

namespace Mangofall {

bool exceedsEveryEngine(std::uint64_t promptTokens, const std::vector<const UpstreamSpec *> &engines)
{
    return !engines.empty() && std::all_of(engines.begin(), engines.end(), [promptTokens](const UpstreamSpec *engine) {
        return promptTokens > engine->memoryTokens;
    });
}

std::vector<EngineMemory> engineMemories(const ControlSnapshot &snapshot, const ModelId &model)
{
    std::vector<EngineMemory> memories;
    for (const UpstreamSpec *engine : snapshot.routing->upstreamsOf(model)) {
        const bool usable = !snapshot.routing->isOutOfService(*engine) && snapshot.dispatchers.contains(engine->id);
        // Entry hosts don't know the memory in use, so all of it counts as free here; the reservation decides.
        memories.push_back({engine->id, engine->dataCentre, engine->memoryTokens, usable ? engine->memoryTokens : 0});
    }
    return memories;
}

}
