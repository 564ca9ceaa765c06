#pragma once

#include "Placement/EngineCost.h"
#include "Placement/EngineSpec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

/// Limits that both the choice of engines for a prompt that starts now and the forecast for one that starts later keep.
namespace Mangofall::Placement {

/// A request names at most 16 helpers in addition to the engine that answers.
constexpr std::uint32_t maxPromptParts = 17;
/// Share of a pause limit that an estimate may use up. The rest covers network and waiting times that the estimates leave out.
constexpr double usablePauseShare = 0.8;
/// Share of the time to the target that an estimate may use up.
constexpr double usableTargetShare = 0.85;
/// A part of a prompt is worth sending to another engine only if its prefill takes several steps.
constexpr std::uint32_t leastChunksPerPart = 4;
/// An engine prefills the part that came last first. So it helps with one prompt at a time, and with none while it has a longer prefill than this for a
/// request that it answers itself, because that prefill would be delayed.
constexpr std::chrono::milliseconds maxDelayedPrefill{100};
/// Estimate for connecting, sending and forwarding.
constexpr std::chrono::milliseconds engineNetworkTime{15};
/// Engines allocate memory in blocks, so a request takes slightly more than its tokens.
constexpr double usableMemoryShare = 0.97;

/// A part of a prompt that exceeds one engine takes at most this except at low load. Longer parts kept engines from short prompts for seconds when a
/// phase of short prompts began.
constexpr std::chrono::milliseconds longestPart{1500};
/// Share of the engines that prompts which exceed one engine prefill on at the same time, except at low load.
constexpr double largePromptShare = 0.4;

/// The tokens that fit into the KV memory of one engine.
inline std::uint64_t usableMemory(const EngineSpec &spec)
{
    return static_cast<std::uint64_t>(usableMemoryShare * static_cast<double>(spec.memoryTokens));
}

/// Returns whether a prompt with its answer of \p tokens in total exceeds the KV memory of one engine, so that helpers must store a part of it.
inline bool exceedsOneEngine(const EngineSpec &spec, std::uint64_t tokens)
{
    return static_cast<double>(tokens) > usableMemoryShare * static_cast<double>(spec.memoryTokens);
}

/// The number of parts beyond which a part of a prompt would be too small to be worth sending to another engine.
inline std::uint32_t maxUsefulParts(const EngineSpec &spec, std::uint64_t promptTokens)
{
    const std::uint64_t leastTokens = std::uint64_t{leastChunksPerPart} * spec.chunkTokens;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(promptTokens / leastTokens, 1, maxPromptParts));
}

/// The least number of parts of a prompt that exceeds the KV memory of one engine.
inline std::uint32_t leastParts(const EngineSpec &spec, std::uint64_t promptTokens)
{
    const auto wanted = static_cast<std::uint32_t>(prefillTime(spec, promptTokens, 1) / Duration(longestPart) + 1);
    return std::clamp<std::uint32_t>(wanted, 2, std::max(maxUsefulParts(spec, promptTokens), 2U));
}

}
