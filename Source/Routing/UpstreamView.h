#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"
#include "Routing/UpstreamState.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class UpstreamView
 * \brief An entry host's view of one upstream, made from load summaries; it lags behind the dispatcher's state.
 */
struct UpstreamView {
    UpstreamId id;
    UpstreamState state = UpstreamState::Unknown;
    std::uint32_t requestCap = 0;
    std::uint32_t inFlightRequests = 0;
    std::uint32_t queuedRequests = 0;
    std::uint64_t prefillCap = 0; ///< Tokens.
    PerClass<std::uint64_t> inFlightPrefillTokens{};
    PerClass<std::uint64_t> queuedPrefillTokens{};
    double prefillRate = 0; ///< Tokens per second; 0 if not measured yet.
    Seconds residence{0}; ///< Mean time a request stays at the upstream; 0 if not measured yet.
    std::uint64_t cachedTokens = 0; ///< Believed cached for the prompt at hand.
    bool designatedForLong = true; ///< Set by LongShareAllocator.

    /// In-flight and queued prefill tokens of \p lengthClass.
    std::uint64_t prefillTokens(LengthClass lengthClass) const
    {
        return inFlightPrefillTokens[indexOf(lengthClass)] + queuedPrefillTokens[indexOf(lengthClass)];
    }

    std::uint64_t totalPrefillTokens() const
    {
        return prefillTokens(LengthClass::Short) + prefillTokens(LengthClass::Medium) + prefillTokens(LengthClass::Long);
    }

    friend bool operator==(const UpstreamView &, const UpstreamView &) = default;
};

}
