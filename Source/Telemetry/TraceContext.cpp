#include "Telemetry/TraceContext.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace Mangofall {

namespace {

// Offsets and lengths within "00-<32 hex trace id>-<16 hex span id>-<2 hex flags>".
constexpr std::size_t headerLength = 55;
constexpr std::size_t traceHighOffset = 3;
constexpr std::size_t traceLowOffset = 19;
constexpr std::size_t spanOffset = 36;
constexpr std::size_t flagsOffset = 53;
constexpr std::size_t idLength = 16;
constexpr std::size_t flagsLength = 2;
constexpr int hexBase = 16;

bool parseHex(std::string_view text, std::uint64_t &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::uint64_t randomNonZero(RandomEngine &random)
{
    const std::uint64_t value = random();
    return value == 0 ? 1 : value;
}

}

std::optional<TraceContext> traceContextFromHeader(std::string_view header)
{
    if (header.size() != headerLength || !header.starts_with("00-") || header[spanOffset - 1] != '-' || header[flagsOffset - 1] != '-') {
        return std::nullopt;
    }
    TraceContext context;
    std::uint64_t flags = 0;
    const bool valid = parseHex(header.substr(traceHighOffset, idLength), context.traceHigh)
        && parseHex(header.substr(traceLowOffset, idLength), context.traceLow) && parseHex(header.substr(spanOffset, idLength), context.span)
        && parseHex(header.substr(flagsOffset, flagsLength), flags);
    if (!valid || (context.traceHigh == 0 && context.traceLow == 0) || context.span == 0) {
        return std::nullopt;
    }
    context.sampled = (flags & 1U) != 0;
    return context;
}

std::string toHeader(const TraceContext &context)
{
    std::array<char, headerLength + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "00-%016llx%016llx-%016llx-%02x",
                  static_cast<unsigned long long>(context.traceHigh),
                  static_cast<unsigned long long>(context.traceLow),
                  static_cast<unsigned long long>(context.span),
                  context.sampled ? 1U : 0U);
    return std::string(text.data(), headerLength);
}

TraceContext makeRootContext(RandomEngine &random)
{
    return {randomNonZero(random), random(), randomNonZero(random), true};
}

TraceContext makeChildContext(const TraceContext &parent, RandomEngine &random)
{
    return {parent.traceHigh, parent.traceLow, randomNonZero(random), parent.sampled};
}

}
