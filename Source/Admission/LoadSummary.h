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
 * \brief What a dispatcher tells all hosts about its upstream in heartbeats.
 */
struct LoadSummary {
    UpstreamId upstream;
    UpstreamState state = UpstreamState::Unknown;
    Caps caps;
    std::uint32_t inFlightRequests = 0; ///< Includes what a former dispatcher may still run.
    std::uint32_t queuedRequests = 0;
    PerClass<std::uint64_t> inFlightPrefillTokens{};
    PerClass<std::uint64_t> queuedPrefillTokens{};
    double prefillRate = 0; ///< Tokens per second; 0 if not measured yet.
    Seconds residence{0}; ///< Mean time from sending to the last token; 0 if not measured yet.
};

/// The view that an entry host makes of \p summary.
UpstreamView toView(const LoadSummary &summary);

}
