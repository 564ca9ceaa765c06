#pragma once

#include "Base/RandomEngine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/**
 * \class TraceContext
 * \brief The trace and span that a message belongs to; carried in the W3C `traceparent` header.
 */
struct TraceContext {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = true;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/// Parses a version 00 `traceparent` value; empty if malformed or all zero.
std::optional<TraceContext> traceContextFromHeader(std::string_view header);

std::string toHeader(const TraceContext &context);

/// A new root context.
TraceContext makeRootContext(RandomEngine &random);

/// The context of a child span of \p parent.
TraceContext makeChildContext(const TraceContext &parent, RandomEngine &random);

}
