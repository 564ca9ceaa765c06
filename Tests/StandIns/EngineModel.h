#pragma once

#include "Base/Time.h"
#include "StandIns/EngineOptions.h"
#include "StandIns/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall::StandIns {

/// Text of token \p index of the answer to a prompt with hash \p promptHash, with a trailing space.
std::string tokenText(std::uint64_t promptHash, std::uint32_t index);

/**
 * \class EngineRequest
 * \brief What a completion call asks for.
 */
struct EngineRequest {
    std::string attempt;
    std::string prompt;
    int priority = 0; ///< Higher is more urgent; each step doubles the share of the prefill rate.
    std::uint32_t firstToken = 0; ///< First token to generate; the text before it is prefilled too.
    std::uint32_t maxTokens = 16; ///< Tokens of the whole answer, those before firstToken included.
    std::uint64_t remoteTokens = 0; ///< Prompt tokens whose KV cache other engines hold.
    std::string holdAs; ///< If set, the prefilled KV cache stays under this id and nothing is generated.
    std::uint64_t promptTokens = 0; ///< Set by submit() from the prompt unless holdAs is set.
};

enum class AttemptState {
    Waiting,
    Prefilling,
    Decoding,
    Finished,
    Cancelled,
    Lost, ///< The engine crashed.
};

/**
 * \class EngineAttempt
 * \brief One attempt inside the engine.
 */
struct EngineAttempt {
    EngineRequest request;
    std::uint64_t promptHash = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t heldTokens = 0; ///< KV memory reserved.
    double prefillLeft = 0;
    double decodeCredit = 0;
    AttemptState state = AttemptState::Waiting;
    std::uint32_t produced = 0; ///< Tokens before this index exist.
    std::uint32_t sent = 0; ///< Tokens before this index were written to the current connection.
    std::uint64_t connection = 0; ///< Raised whenever another connection takes the attempt over.
    bool attached = true;
    TimePoint detachedAt; ///< Valid when not attached, or when ended.
    std::vector<std::uint64_t> blocks;
    std::function<void()> wake; ///< Called after progress and at the end.
};

using AttemptPointer = std::shared_ptr<EngineAttempt>;

enum class Admission {
    Accepted,
    Refused, ///< Before work.
    Duplicate, ///< The attempt is already held.
    NeverFits,
    Crashed,
};

/**
 * \class EngineCounts
 * \brief What the engine saw since its process started; crashes do not reset it.
 */
struct EngineCounts {
    std::uint64_t run = 0; ///< Attempts that entered the batch.
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t resumed = 0;
    std::uint64_t crashes = 0;
    std::size_t maxConcurrent = 0;
    std::size_t maxCold = 0;
    std::uint64_t maxColdPrefillTokens = 0;
    std::map<std::uint64_t, std::uint64_t> runByPrompt;
};

/**
 * \class EngineLoad
 * \brief A load report.
 */
struct EngineLoad {
    std::uint64_t epoch = 1;
    Duration uptime{0};
    std::size_t inFlight = 0; ///< In the batch.
    std::size_t queued = 0;
    std::uint64_t usedTokens = 0; ///< KV memory of attempts and held blocks; the prefix cache is evictable and not counted.
    std::uint64_t prefillTokens = 0; ///< Left to prefill, queued ones included.
};

/**
 * \class EngineModel
 * \brief Simulates a model engine with continuous batching; no I/O, time is engine time passed in.
 */
class EngineModel
{
public:
    EngineModel(EngineOptions options, TimePoint now);

    /// Admits \p request; \p attempt is set if accepted. May crash a cold engine.
    Admission submit(EngineRequest request, TimePoint now, AttemptPointer &attempt);
    /// The held attempt for a connection that continues it; null if it is no longer held or cannot be rewound.
    AttemptPointer resume(const std::string &attempt, std::uint32_t fromToken);
    void detach(const AttemptPointer &attempt, std::uint64_t connection, TimePoint now);
    bool cancel(const std::string &attempt, TimePoint now);
    void advance(TimePoint now);

    /// Loses all attempts and memory and restarts cold with a new epoch.
    void crash(TimePoint now);
    /// Restarts the warm-up without losing anything.
    void makeCold();
    bool restarting(TimePoint now) const;
    bool cold() const;

    bool importBlock(const std::string &id, std::uint64_t tokens, TimePoint now);
    bool deleteBlock(const std::string &id);
    const std::map<std::string, std::uint64_t> &heldBlocks() const;
    /// False if the fencing token is stale and checked.
    bool command(const std::string &name, const std::string &argument, std::uint64_t fencingToken);
    const std::map<std::string, std::string> &commandState() const;
    std::uint64_t fencingToken() const;

    EngineLoad load(TimePoint now) const;
    /// The newest report that is at least the configured lag old.
    EngineLoad laggingLoad(TimePoint now) const;
    const EngineCounts &counts() const;
    std::uint64_t heldTokens() const;
    PrefixCache &cache();

private:
    std::size_t concurrent() const;
    std::uint64_t prefillTokensInFlight() const;
    bool overloadsColdEngine() const;
    void startWaiting(TimePoint now);
    void prefill(double seconds, TimePoint now);
    void finishPrefill(EngineAttempt &attempt, TimePoint now);
    void decode(double seconds, TimePoint now);
    void end(EngineAttempt &attempt, AttemptState state, TimePoint now);
    void expire(TimePoint now);

    EngineOptions m_options;
    PrefixCache m_cache;
    std::map<std::string, AttemptPointer> m_attempts; ///< Waiting, running and held ones.
    std::vector<AttemptPointer> m_waiting;
    std::vector<AttemptPointer> m_running;
    std::map<std::string, std::uint64_t> m_blocks;
    std::map<std::string, std::string> m_commands;
    std::deque<std::pair<TimePoint, EngineLoad>> m_reports;
    EngineCounts m_counts;
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_heldTokens = 0;
    std::size_t m_finishedSinceCold = 0;
    std::uint64_t m_prefilledSinceCold = 0;
    TimePoint m_startedAt;
    TimePoint m_servesFrom;
    TimePoint m_advancedTo;
};

}
