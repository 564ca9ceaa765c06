#pragma once

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class EngineSpec
 * \brief The capacity and cost figures of one kind of model engine.
 *
 * An engine works in batch iterations. With requests in decode, an iteration runs `stepsPerIteration` steps and then yields one stream event for each
 * of these requests. Each step may also prefill one chunk of a prompt, which makes it longer.
 */
struct EngineSpec {
    std::uint32_t slots = 0; ///< Requests that an engine can run at the same time.
    std::uint64_t memoryTokens = 0; ///< Tokens of prompts and answers that fit into the KV memory.
    std::uint32_t stepsPerIteration = 1;
    std::uint32_t chunkTokens = 2048; ///< Prompt tokens that one step prefills at most.
    double stepMs = 0; ///< Time of a step without prefill and without requests in decode.
    double decodingRequestMs = 0; ///< Time that each request in decode adds to a step.
    double contextMs = 0; ///< Time that each thousand tokens of context of the requests in decode add to a step.
    double prefillTokensPerMs = 1; ///< Prompt tokens that prefill processes in a millisecond, without the cost of pairs.
    double pairsMs = 0; ///< Prefill time for each million pairs of a token and an earlier token.

    friend bool operator==(const EngineSpec &, const EngineSpec &) = default;
};

}
