#pragma once

#include "Telemetry/TraceContext.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Mangofall {

/**
 * \class Span
 * \brief Trace span of one hop of a request: the operation, its trace context, times and attributes.
 */
struct Span {
    std::string name;
    TraceContext context;
    std::uint64_t parentSpanId = 0; ///< 0 for a root span.
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<std::pair<std::string, std::string>> attributes;
    bool failed = false;
};

}
