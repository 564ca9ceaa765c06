#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>

namespace Mangofall {

enum class RoutingPolicy {
    EstimatedFirstToken,
    RoundRobin,
    LeastInFlight,
};

/**
 * \class Preset
 * \brief A named set of policy parameters; exactly one preset is in force at any time.
 */
struct Preset {
    PresetName name;
    RoutingPolicy routing = RoutingPolicy::EstimatedFirstToken;
    double shortWeight = 0.5; ///< 1 favours low slowdown of short requests, 0 favours early first tokens of long ones.
    std::uint32_t choices = 4; ///< Number of candidate upstreams that the default policy compares for each request.
    std::uint32_t queueLimit = 256; ///< Largest number of requests queued per upstream.
    std::chrono::milliseconds shortDeadline{30'000}; ///< Time from admission to the last token of a short request.
    std::chrono::milliseconds longDeadline{600'000}; ///< Time from admission to the last token of a long request.
    double retryRatio = 0.1; ///< Largest ratio of retries to first attempts in each pool of upstreams.
    double minLongShare = 0.1; ///< Smallest fraction of upstreams that accept long prompts.
    bool admitModelRequests = true; ///< False during maintenance, when new model requests are refused.

    friend bool operator==(const Preset &, const Preset &) = default;
};

}
