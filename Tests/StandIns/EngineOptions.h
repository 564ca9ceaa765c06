#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Mangofall::StandIns {

/**
 * \class EngineOptions
 * \brief Capacity and injected faults of one simulated model engine; all times are engine time, before the time scale is applied.
 */
struct EngineOptions {
    double timeScale = 1; ///< Engine seconds per real second.
    double prefillRate = 20'000; ///< Prompt tokens per second, shared by the running attempts.
    double decodeRate = 50; ///< Generated tokens per second and attempt.
    std::size_t slots = 32; ///< Maximum number of attempts in the batch.
    std::size_t queueLimit = 256; ///< Maximum number of attempts waiting for a slot; the engine refuses further ones before any work.
    std::uint64_t memoryTokens = 400'000; ///< Size of the KV memory in tokens.
    std::size_t coldRequests = 2; ///< Concurrent requests above which a cold engine crashes; each finished request raises the limit by one.
    std::uint64_t coldPrefillTokens = 0; ///< Concurrent prompt tokens above which a cold engine crashes; 0 means no limit.
    Duration restartTime = std::chrono::seconds(2); ///< Time after a crash in which no request is served.
    Duration retentionTime = std::chrono::seconds(30); ///< Time for which a finished or detached attempt stays resumable.
    Duration loadLag = std::chrono::milliseconds(500); ///< Minimum age of a load report.
    Duration eventDelay = std::chrono::milliseconds(500); ///< Age at which a cache event becomes visible.
    double eventGapShare = 0; ///< Share of cache events that are lost.
    std::uint32_t sendWindow = 256; ///< Number of unsent tokens at which generation pauses.
    bool poison = false; ///< Whether a prompt with the text "crash-me" crashes the engine.
    bool checksFencing = false; ///< Whether commands with a stale fencing token are rejected.
    bool acceptsContinuation = true; ///< Whether an attempt of another engine is continued from the answer text in the request body.
    std::uint64_t seed = 1;
};

}
