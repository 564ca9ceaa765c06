#include "Engines/LongPromptPlanner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall {

namespace {

struct Room {
    UpstreamId upstream;
    std::uint64_t tokens = 0;
};

// The fewest rooms that hold the prompt; empty if they do not hold it together.
std::vector<PromptSegment> split(std::uint64_t promptTokens, std::uint64_t outputTokens, std::vector<Room> rooms)
{
    std::sort(rooms.begin(), rooms.end(), [](const Room &left, const Room &right) {
        return left.tokens != right.tokens ? left.tokens > right.tokens : left.upstream.value() < right.upstream.value();
    });
    if (rooms.empty() || promptTokens == 0 || rooms.front().tokens <= outputTokens) {
        return {};
    }
    PromptSegment last{rooms.front().upstream, 0, std::min(promptTokens, rooms.front().tokens - outputTokens), outputTokens};
    std::uint64_t left = promptTokens - last.promptTokens;
    std::uint64_t first = 0;
    std::vector<PromptSegment> segments;
    for (auto room = rooms.begin() + 1; left > 0 && room != rooms.end() && room->tokens > 0; ++room) {
        const std::uint64_t tokens = std::min(left, room->tokens);
        segments.push_back({room->upstream, first, tokens, 0});
        first += tokens;
        left -= tokens;
    }
    if (left > 0) {
        return {};
    }
    last.firstToken = first;
    segments.push_back(last);
    return segments;
}

std::optional<LongPromptPlan>
bestPlan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines, std::uint64_t EngineMemory::*room)
{
    std::map<std::string, std::vector<Room>> dataCentres;
    for (const EngineMemory &engine : engines) {
        dataCentres[engine.dataCentre.value()].push_back({engine.upstream, engine.*room});
    }
    std::optional<LongPromptPlan> best;
    for (auto &[name, rooms] : dataCentres) {
        std::vector<PromptSegment> segments = split(promptTokens, outputTokens, std::move(rooms));
        if (!segments.empty() && (!best || segments.size() < best->segments.size())) {
            best = LongPromptPlan{DataCentreId(name), std::move(segments)};
        }
    }
    return best;
}

}

LongPromptPlanResult LongPromptPlanner::plan(std::uint64_t promptTokens, std::uint64_t outputTokens, std::span<const EngineMemory> engines)
{
    if (std::optional<LongPromptPlan> now = bestPlan(promptTokens, outputTokens, engines, &EngineMemory::freeTokens)) {
        return *std::move(now);
    }
    const bool everFits = bestPlan(promptTokens, outputTokens, engines, &EngineMemory::memoryTokens).has_value();
    return everFits ? ErrorKind::NoUpstream : ErrorKind::PromptNeverFits;
}

}
