#pragma once

#include "Base/Time.h"
#include "Placement/EngineSpec.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Mangofall::Experiment {

/// The number of an attempt, unique over all engines.
using AttemptNumber = std::uint64_t;

/// The work of an attempt on one engine.
struct EngineTask {
    std::uint64_t promptTokens = 0;
    std::uint32_t parts = 1; ///< Engines that share the prefill of the prompt in equal parts.
    std::uint64_t memoryTokens = 0; ///< KV memory that the attempt occupies on this engine until it ends.
};

/// The progress that one batch iteration made.
struct IterationResult {
    std::vector<AttemptNumber> prefilledParts; ///< Attempts whose part of the prompt on this engine, as its own prompt or as a helper's part, is now prefilled.
    std::vector<AttemptNumber> decodedAttempts; ///< Attempts whose answers got one more event.
};

/**
 * \class PassEngine
 * \brief One model engine in virtual time, with the cost formulas of EngineSpec.
 *
 * It works in batch iterations. Parts for other engines are prefilled first, the newest before the others, then the engine's own prompts in their order.
 * Each step prefills at most one chunk. An iteration with requests in decode runs all its steps before the events of these requests are sent. The user of
 * the class asks for the time of each iteration and reports its end.
 */
class PassEngine
{
public:
    explicit PassEngine(const Placement::EngineSpec &spec);

    /// Starts the prefill of the attempt's part on the engine that answers it, or queues it until a slot and memory are free.
    void submit(AttemptNumber attempt, const EngineTask &task);
    /// Returns whether \p tokens of KV memory are free, so that a part of another engine's prompt can be stored here.
    bool hasMemory(std::uint64_t tokens) const;
    /// Starts the prefill of a part for an attempt that another engine answers; \p task.memoryTokens stay occupied here until remove().
    void submitHelperPart(AttemptNumber attempt, const EngineTask &task);
    /// All parts of the attempt are prefilled; the next iteration decodes its answer.
    void startDecoding(AttemptNumber attempt);
    /// Ends the work for the attempt, frees its slot and memory and admits queued attempts.
    void remove(AttemptNumber attempt);
    /// Drops all work, as at a failure of the engine.
    void clear();

    /// Starts an iteration and returns its duration; returns nothing if there is no work or an iteration is running.
    std::optional<Duration> startIteration();
    IterationResult finishIteration();

private:
    struct Prefill {
        AttemptNumber attempt = 0;
        std::uint64_t remainingTokens = 0;
        Duration timePerToken{};
    };
    struct RunningAttempt {
        EngineTask task;
        bool decoding = false;
    };

    bool fits(const EngineTask &task) const;
    std::uint64_t usedMemory() const; ///< In tokens.
    void admit(AttemptNumber attempt, const EngineTask &task);
    void admitQueued();
    Prefill makePrefill(AttemptNumber attempt, const EngineTask &task) const;
    /// Prefills up to \p tokens prompt tokens and returns the time that this takes.
    Duration advancePrefills(std::uint64_t tokens);

    Placement::EngineSpec m_spec;
    std::map<AttemptNumber, RunningAttempt> m_running;
    std::map<AttemptNumber, std::uint64_t> m_helperMemory;
    std::deque<std::pair<AttemptNumber, EngineTask>> m_queue;
    std::deque<Prefill> m_prefills; ///< In the order of processing.
    std::vector<AttemptNumber> m_decodingAttempts; ///< The attempts in decode in the running iteration.
    bool m_iterationRunning = false;
};

}
