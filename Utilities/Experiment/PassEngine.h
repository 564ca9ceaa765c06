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

/// Names one attempt at an engine, over all engines.
using AttemptNumber = std::uint64_t;

/// What an engine does for one attempt that it answers.
struct EngineTask {
    std::uint64_t promptTokens = 0;
    std::uint32_t parts = 1; ///< Engines that read the prompt together.
    std::uint64_t memoryTokens = 0; ///< Held here while the attempt runs.
};

/// What one pass brought.
struct PassResult {
    std::vector<AttemptNumber> partsRead; ///< Own parts and parts for other engines that are read now.
    std::vector<AttemptNumber> pieces; ///< Attempts whose answers got one piece more.
};

/**
 * \class PassEngine
 * \brief One model engine in virtual time, after the cost formulas of EngineSpec.
 *
 * It works in passes: parts for other engines are read first, the newest before the others, then the prompts of its own in order; each step reads one
 * chunk at most, and a pass with writers runs all its steps before the writers' pieces are sent. The caller asks for the length of each pass and
 * reports its end.
 */
class PassEngine
{
public:
    explicit PassEngine(const Placement::EngineSpec &spec);

    /// Begins to read the attempt's own part, or queues it while no slot or memory is free.
    void submit(AttemptNumber attempt, const EngineTask &task);
    /// Reads a part for the attempt of another engine; \p task.memoryTokens stay here until remove().
    void help(AttemptNumber attempt, const EngineTask &task);
    /// All parts of the attempt are read: it writes from the next pass on.
    void startWriting(AttemptNumber attempt);
    void remove(AttemptNumber attempt);
    void clear();

    /// The length of the pass that starts now; nothing if there is no work or a pass runs.
    std::optional<Duration> startPass();
    PassResult finishPass();

private:
    struct Read {
        AttemptNumber attempt = 0;
        std::uint64_t tokensLeft = 0;
        Duration perToken{};
    };
    struct Answer {
        EngineTask task;
        bool writing = false;
    };

    bool fits(const EngineTask &task) const;
    void admit(AttemptNumber attempt, const EngineTask &task);
    void admitQueued();
    Read makeRead(AttemptNumber attempt, const EngineTask &task) const;
    /// Reads up to \p tokens and returns the time that it takes.
    Duration readTokens(std::uint64_t tokens);

    Placement::EngineSpec m_spec;
    std::map<AttemptNumber, Answer> m_answers;
    std::map<AttemptNumber, std::uint64_t> m_helperMemory;
    std::deque<std::pair<AttemptNumber, EngineTask>> m_queue;
    std::deque<Read> m_reads; ///< In the order in which they are read.
    std::vector<AttemptNumber> m_writers; ///< Of the pass that runs.
    bool m_inPass = false;
};

}
