#pragma once

#include "Base/RandomEngine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall {

/**
 * \class TraceContext
 * \brief Ids of the trace and span that a message belongs to, as carried in the W3C `traceparent` header.
 */
struct TraceContext {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = true;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/// Parses a `traceparent` value of version 00; returns no value if it is malformed or its trace id or span id is zero.
std::optional<TraceContext> traceContextFromHeader(std::string_view header);

/// Formats \p context as a `traceparent` value of version 00.
std::string toHeader(const TraceContext &context);

/// Creates the context of a new trace's root span.
TraceContext makeRootContext(RandomEngine &random);

/// Creates the context of a child span of \p parent.
TraceContext makeChildContext(const TraceContext &parent, RandomEngine &random);

}
