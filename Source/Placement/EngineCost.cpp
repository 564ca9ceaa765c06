#include "Placement/EngineCost.h"

#include "Placement/EngineSpec.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double pairsPerUnit = 1e6;
constexpr double contextUnitTokens = 1000;

}

Duration prefillTime(const EngineSpec &spec, std::uint64_t promptTokens, std::uint32_t parts)
{
    const double tokens = static_cast<double>(promptTokens);
    const double pairs = tokens * tokens / 2 / pairsPerUnit;
    const double whole = tokens / spec.prefillTokensPerMs + pairs * spec.pairsMs;
    return toDuration(Milliseconds(whole / std::max(parts, 1U)));
}

Duration iterationTime(const EngineSpec &spec, std::uint32_t decodingRequests, std::uint64_t contextTokens)
{
    if (decodingRequests == 0) {
        return Duration::zero();
    }
    const double step = spec.stepMs + decodingRequests * spec.decodingRequestMs + static_cast<double>(contextTokens) / contextUnitTokens * spec.contextMs;
    return toDuration(Milliseconds(step * spec.stepsPerIteration));
}

Duration longestPrefillInIteration(const EngineSpec &spec, Duration backlog, std::uint64_t largestPromptTokens)
{
    const double chunk = spec.chunkTokens;
    const double chunkPairs = chunk * static_cast<double>(largestPromptTokens) / pairsPerUnit;
    const double perStep = chunk / spec.prefillTokensPerMs + chunkPairs * spec.pairsMs;
    return std::min(backlog, toDuration(Milliseconds(perStep * spec.stepsPerIteration)));
}

}
