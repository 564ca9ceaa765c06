#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Placement {

struct EngineSpec;

/// The time that each of \p parts engines needs for the prefill of an equal part of a prompt if it does nothing else.
Duration prefillTime(const EngineSpec &spec, std::uint64_t promptTokens, std::uint32_t parts);

/// The time of a batch iteration without prefill, with \p decodingRequests requests in decode that have \p contextTokens tokens of context in total.
Duration iterationTime(const EngineSpec &spec, std::uint32_t decodingRequests, std::uint64_t contextTokens);

/// The most time that a prefill backlog of \p backlog adds to one iteration, and so to the pauses of requests in decode. Each step of an iteration
/// prefills at most one chunk.
Duration longestPrefillInIteration(const EngineSpec &spec, Duration backlog, std::uint64_t largestPromptTokens);

}
