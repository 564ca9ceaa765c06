#pragma once

#include <cstdint>

namespace Mangofall {

/// State of an upstream as its dispatcher sees it.
enum class UpstreamState : std::uint8_t {
    Unknown, ///< Nothing heard yet; cold caps apply.
    Cold, ///< Just started; cold caps apply.
    Warming, ///< Caps grow with completed work.
    Warm,
    Suspect, ///< Does not respond; gets no work until a probe succeeds.
    Out, ///< Taken out of service by operators.
    Leaving, ///< Shuts down.
};

/// Whether an upstream in \p state may get new work.
constexpr bool acceptsWork(UpstreamState state)
{
    return state == UpstreamState::Unknown || state == UpstreamState::Cold || state == UpstreamState::Warming || state == UpstreamState::Warm;
}

}
