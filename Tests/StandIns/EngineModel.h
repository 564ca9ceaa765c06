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
 * \brief Parameters of a completion or export request.
 */
struct EngineRequest {
    std::string attempt;
    std::string prompt;
    int priority = 0; ///< Higher is more urgent; each step doubles the share of the prefill rate.
    std::uint32_t firstToken = 0; ///< Index of the first token to generate; the earlier tokens of the answer are prefilled too.
    std::uint32_t maxTokens = 16; ///< Tokens of the whole answer, including those before firstToken.
    std::uint64_t remoteTokens = 0; ///< Prompt tokens whose KV cache is on other engines; no KV memory is reserved for them.
    std::string exportBlockId; ///< If set, the prefilled KV cache is kept as a block with this id and nothing is generated.
    std::uint64_t promptTokens = 0; ///< Computed from the prompt by submit() unless exportBlockId is set.
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
 * \brief State of one attempt that the engine keeps.
 */
struct EngineAttempt {
    EngineRequest request;
    std::uint64_t promptHash = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t reservedTokens = 0; ///< Size of the memory reservation.
    double remainingPrefillTokens = 0;
    double decodeCredit = 0; ///< Tokens that the decode rate allows but that are not generated yet, with fractions.
    AttemptState state = AttemptState::Waiting;
    std::uint32_t produced = 0; ///< Index after the last generated token.
    std::uint32_t sent = 0; ///< Index after the last token written to the current connection.
    std::uint64_t connectionGeneration = 0; ///< Incremented whenever another connection takes over the attempt.
    bool attached = true; ///< Whether a connection reads the answer.
    TimePoint detachedAt; ///< Time of the detachment or of the end; valid if not attached or ended.
    std::vector<std::uint64_t> blocks;
    std::function<void()> wake; ///< Called after new tokens, at the end and when another connection takes over.
};

using AttemptPointer = std::shared_ptr<EngineAttempt>;

enum class Admission {
    Accepted,
    Refused, ///< The queue is full; no work was done.
    Duplicate, ///< The engine already keeps an attempt of this name.
    NeverFits, ///< The attempt needs more than the whole KV memory.
    Crashed,
};

/**
 * \class EngineCounts
 * \brief Counters since the start of the process; simulated crashes do not reset them.
 */
struct EngineCounts {
    std::uint64_t started = 0; ///< Attempts that entered the batch.
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t resumed = 0;
    std::uint64_t crashes = 0;
    std::size_t maxConcurrent = 0;
    std::size_t maxConcurrentCold = 0;
    std::uint64_t maxColdPrefillTokens = 0;
    std::map<std::uint64_t, std::uint64_t> startedByPrompt; ///< Attempts that entered the batch, by prompt hash.
};

/**
 * \class EngineLoad
 * \brief Load report of an engine.
 */
struct EngineLoad {
    std::uint64_t epoch = 1;
    Duration uptime{0};
    std::size_t inFlight = 0; ///< Attempts in the batch.
    std::size_t queued = 0; ///< Attempts waiting for a slot.
    std::uint64_t usedTokens = 0; ///< KV memory of running attempts and of kept blocks, without the prefix cache, which is evictable.
    std::uint64_t prefillTokens = 0; ///< Tokens still to be prefilled, including those of queued attempts.
};

/**
 * \class EngineModel
 * \brief Simulates a model engine with continuous batching; does no I/O, and its callers pass in the engine time.
 */
class EngineModel
{
public:
    EngineModel(EngineOptions options, TimePoint now);

    /// Queues or starts \p request; sets \p attempt if the request is accepted. May crash the engine, for example a cold one that exceeds its limits.
    Admission submit(EngineRequest request, TimePoint now, AttemptPointer &attempt);
    /// Takes over a kept attempt and sends from token \p fromToken; null if the attempt is no longer kept or does not cover that token.
    AttemptPointer resume(const std::string &attempt, std::uint32_t fromToken);
    void detach(const AttemptPointer &attempt, std::uint64_t connectionGeneration, TimePoint now);
    bool cancel(const std::string &attempt, TimePoint now);
    void advance(TimePoint now);

    /// Simulates a crash: discards all attempts and KV memory and restarts cold with a new epoch.
    void crash(TimePoint now);
    /// Restarts the warm-up and keeps attempts and KV memory.
    void makeCold();
    bool restarting(TimePoint now) const;
    bool cold() const;

    bool importBlock(const std::string &id, std::uint64_t tokens, TimePoint now);
    bool deleteBlock(const std::string &id);
    const std::map<std::string, std::uint64_t> &heldBlocks() const;
    /// Records a command and its argument; false if fencing tokens are checked and \p fencingToken is stale.
    bool command(const std::string &name, const std::string &argument, std::uint64_t fencingToken);
    const std::map<std::string, std::string> &commandState() const;
    std::uint64_t fencingToken() const;

    EngineLoad load(TimePoint now) const;
    /// Newest load report whose age is at least the configured lag.
    EngineLoad laggingLoad(TimePoint now) const;
    const EngineCounts &counts() const;
    std::uint64_t reservedTokens() const;
    PrefixCache &cache();

private:
    std::size_t concurrentAttempts() const;
    std::uint64_t prefillTokensInFlight() const;
    bool exceedsColdLimits() const;
    void startWaiting(TimePoint now);
    void prefill(double seconds, TimePoint now);
    void finishPrefill(EngineAttempt &attempt, TimePoint now);
    void decode(double seconds, TimePoint now);
    void end(EngineAttempt &attempt, AttemptState state, TimePoint now);
    void expire(TimePoint now);

    EngineOptions m_options;
    PrefixCache m_cache;
    std::map<std::string, AttemptPointer> m_attempts; ///< Waiting and running attempts, and finished ones within the retention time.
    std::vector<AttemptPointer> m_waiting;
    std::vector<AttemptPointer> m_running;
    std::map<std::string, std::uint64_t> m_blocks;
    std::map<std::string, std::string> m_commands;
    std::deque<std::pair<TimePoint, EngineLoad>> m_reports;
    EngineCounts m_counts;
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_reservedTokens = 0;
    std::size_t m_finishedSinceCold = 0;
    std::uint64_t m_prefilledSinceCold = 0;
    TimePoint m_startedAt;
    TimePoint m_servesFrom;
    TimePoint m_advancedTo;
};

}
