#pragma once

#include <cstdint>

namespace Mangofall {

/// State of an upstream as its dispatcher sees it.
enum class UpstreamState : std::uint8_t {
    Unknown, ///< Not reported yet; cold caps apply.
    Cold, ///< Just started; cold caps apply.
    Warming, ///< Caps rise as the upstream completes work.
    Warm,
    Suspect, ///< Does not respond; gets no requests until a probe succeeds.
    Out, ///< Taken out of service by an operator.
    Leaving, ///< Is shutting down.
};

/// Whether an upstream in \p state may get new requests.
constexpr bool acceptsWork(UpstreamState state)
{
    return state == UpstreamState::Unknown || state == UpstreamState::Cold || state == UpstreamState::Warming || state == UpstreamState::Warm;
}

}
