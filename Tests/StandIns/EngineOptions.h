#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Mangofall::StandIns {

/**
 * \class EngineOptions
 * \brief Capacity and faults of one simulated model engine; times are engine time, before the time scale.
 */
struct EngineOptions {
    double timeScale = 1; ///< Engine seconds per real second.
    double prefillRate = 20'000; ///< Prompt tokens per second, shared by the running attempts.
    double decodeRate = 50; ///< Generated tokens per second and attempt.
    std::size_t slots = 32; ///< Attempts in the batch.
    std::size_t queueLimit = 256; ///< Attempts waiting for a slot; above it the engine refuses before work.
    std::uint64_t memoryTokens = 400'000; ///< KV memory.
    std::size_t coldRequests = 2; ///< Concurrent requests that a cold engine bears; each finished request adds one.
    std::uint64_t coldPrefillTokens = 0; ///< Concurrent prompt tokens that a cold engine bears; 0 means any number.
    Duration restartTime = std::chrono::seconds(2); ///< After a crash no request is served for this time.
    Duration holdTime = std::chrono::seconds(30); ///< A finished or abandoned attempt stays resumable for this time.
    Duration loadLag = std::chrono::milliseconds(500); ///< Age of the load report.
    Duration eventDelay = std::chrono::milliseconds(500); ///< Age at which a cache event becomes visible.
    double eventGapShare = 0; ///< Share of cache events that are lost.
    std::uint32_t sendWindow = 256; ///< Generation pauses with this many tokens unsent.
    bool poison = false; ///< A prompt with the text "crash-me" crashes the engine.
    bool checksFencing = false; ///< Rejects commands with a stale fencing token.
    bool continues = true; ///< Continues another engine's attempt from the text in the body.
    std::uint64_t seed = 1;
};

}
