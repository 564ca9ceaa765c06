#pragma once

#include "Admission/Caps.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/LengthClass.h"
#include "Routing/UpstreamState.h"

#include <cstdint>

namespace Mangofall {

struct UpstreamView;

/**
 * \class LoadSummary
 * \brief The load of an upstream, which its dispatcher publishes to all hosts in heartbeats.
 */
struct LoadSummary {
    UpstreamId upstream;
    UpstreamState state = UpstreamState::Unknown;
    Caps caps;
    std::uint32_t inFlightRequests = 0; ///< Includes the former owner's and unknown requests that may still run.
    std::uint32_t queuedRequests = 0;
    PerClass<std::uint64_t> inFlightPrefillTokens{};
    PerClass<std::uint64_t> queuedPrefillTokens{};
    double prefillRate = 0; ///< Tokens per second; 0 if not measured yet.
    Seconds residence{0}; ///< Mean time from sending to the last token; 0 if not measured yet.
};

/// Converts \p summary to the view that entry hosts use for routing.
UpstreamView toView(const LoadSummary &summary);

}
