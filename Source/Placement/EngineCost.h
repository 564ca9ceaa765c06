#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Mangofall::Placement {

struct EngineSpec;

/// Time that each of \p parts engines needs to read its even part of a prompt when it does nothing else.
Duration prefillTime(const EngineSpec &spec, std::uint64_t promptTokens, std::uint32_t parts);

/// Time of one pass in which \p writers requests write with \p contextTokens tokens of context in all, and nothing is read.
Duration iterationTime(const EngineSpec &spec, std::uint32_t writers, std::uint64_t contextTokens);

/// The longest pause that reading for \p backlog puts on writers: a pass reads at most one chunk in each of its steps.
Duration longestReadInPass(const EngineSpec &spec, Duration backlog, std::uint64_t largestPromptTokens);

}
