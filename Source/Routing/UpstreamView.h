#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"
#include "Routing/UpstreamState.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class UpstreamView
 * \brief State and load of one upstream as the host that received a request knows them from load summaries; lags behind the dispatcher's state.
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
    std::uint64_t cachedTokens = 0; ///< Tokens of the current prompt that are presumably in the upstream's prefix cache.
    bool designatedForLong = true; ///< Whether LongShareAllocator designates the upstream for long prompts.

    /// Prefill tokens of \p lengthClass, in flight and queued.
    std::uint64_t prefillTokens(LengthClass lengthClass) const
    {
        return inFlightPrefillTokens[indexOf(lengthClass)] + queuedPrefillTokens[indexOf(lengthClass)];
    }

    /// Prefill tokens of all length classes, in flight and queued.
    std::uint64_t totalPrefillTokens() const
    {
        return prefillTokens(LengthClass::Short) + prefillTokens(LengthClass::Medium) + prefillTokens(LengthClass::Long);
    }

    friend bool operator==(const UpstreamView &, const UpstreamView &) = default;
};

}
