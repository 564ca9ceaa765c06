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
 * \brief A named set of policy values; exactly one is in force at any time.
 */
struct Preset {
    PresetName name;
    RoutingPolicy routing = RoutingPolicy::EstimatedFirstToken;
    double shortWeight = 0.5; ///< 1 favours low slowdown of short requests, 0 favours early first tokens of long ones.
    std::uint32_t choices = 4; ///< Candidates that the default policy compares.
    std::uint32_t queueLimit = 256; ///< Requests queued per upstream.
    std::chrono::milliseconds shortDeadline{30'000}; ///< From admission to the last token.
    std::chrono::milliseconds longDeadline{600'000};
    double retryRatio = 0.1; ///< Retries per first attempt, per pool.
    double minLongShare = 0.1; ///< Least share of upstreams that take long prompts.
    bool admitModelRequests = true; ///< False in maintenance: new model requests are refused.

    friend bool operator==(const Preset &, const Preset &) = default;
};

}
