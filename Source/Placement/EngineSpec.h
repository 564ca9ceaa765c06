#pragma once

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class EngineSpec
 * \brief The cost figures of one kind of model engine.
 *
 * An engine works in passes: with writers a pass runs `stepsPerIteration` steps and yields one stream event for each of them; each step may also read one
 * chunk of a prompt, which makes it longer.
 */
struct EngineSpec {
    std::uint32_t slots = 0; ///< Requests that write at the same time.
    std::uint64_t memoryTokens = 0; ///< Tokens of prompts and answers held at the same time.
    std::uint32_t stepsPerIteration = 1;
    std::uint32_t chunkTokens = 2048; ///< Prompt tokens that one step reads at most.
    double stepMs = 0; ///< One step without reading.
    double decodingRequestMs = 0; ///< Added to a step by each writer.
    double contextMs = 0; ///< Added to a step by each thousand tokens of a writer's context.
    double prefillTokensPerMs = 1;
    double pairsMs = 0; ///< Reading a million pairs of a token and an earlier token.

    friend bool operator==(const EngineSpec &, const EngineSpec &) = default;
};

}
