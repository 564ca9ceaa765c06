#include "Engines/LongPromptPlanner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall {

namespace {

/// KV memory, in tokens, that a plan may use at one engine.
struct UsableMemory {
    UpstreamId upstream;
    std::uint64_t tokens = 0;
};

// Splits the prompt over the fewest engines whose memory holds it together with the output; empty if it does not fit.
std::vector<PromptSegment> splitPrompt(std::uint64_t promptTokens, std::uint64_t outputTokens, std::vector<UsableMemory> usableMemory)
{
    std::sort(usableMemory.begin(), usableMemory.end(), [](const UsableMemory &left, const UsableMemory &right) {
        return left.tokens != right.tokens ? left.tokens > right.tokens : left.upstream.value() < right.upstream.value();
    });
    if (usableMemory.empty() || promptTokens == 0 || usableMemory.front().tokens <= outputTokens) {
        return {};
    }
    PromptSegment last{usableMemory.front().upstream, 0, std::min(promptTokens, usableMemory.front().tokens - outputTokens), outputTokens};
    std::uint64_t remainingTokens = promptTokens - last.promptTokens;
    std::uint64_t nextToken = 0;
    std::vector<PromptSegment> segments;
    for (auto candidate = usableMemory.begin() + 1; remainingTokens > 0 && candidate != usableMemory.end() && candidate->tokens > 0; ++candidate) {
        const std::uint64_t tokens = std::min(remainingTokens, candidate->tokens);
        segments.push_back({candidate->upstream, nextToken, tokens, 0});
        nextToken += tokens;
        remainingTokens -= tokens;
    }
    if (remainingTokens > 0) {
        return {};
    }
    last.firstToken = nextToken;
    segments.push_back(last);
    return segments;
}

/// The plan with the fewest engines of one data centre; \p memoryField selects the total or the free memory.
std::optional<LongPromptPlan>
bestPlan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines, std::uint64_t EngineMemory::*memoryField)
{
    std::map<std::string, std::vector<UsableMemory>> dataCentres;
    for (const EngineMemory &engine : engines) {
        dataCentres[engine.dataCentre.value()].push_back({engine.upstream, engine.*memoryField});
    }
    std::optional<LongPromptPlan> best;
    for (auto &[name, usableMemory] : dataCentres) {
        std::vector<PromptSegment> segments = splitPrompt(promptTokens, outputTokens, std::move(usableMemory));
        if (!segments.empty() && (!best || segments.size() < best->segments.size())) {
            best = LongPromptPlan{DataCentreId(name), std::move(segments)};
        }
    }
    return best;
}

}

LongPromptPlanResult LongPromptPlanner::plan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines)
{
    if (std::optional<LongPromptPlan> planNow = bestPlan(promptTokens, outputTokens, engines, &EngineMemory::freeTokens)) {
        return *std::move(planNow);
    }
    const bool everFits = bestPlan(promptTokens, outputTokens, engines, &EngineMemory::memoryTokens).has_value();
    return everFits ? ErrorKind::NoUpstream : ErrorKind::PromptNeverFits;
}

}
