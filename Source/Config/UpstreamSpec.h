#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall {

enum class UpstreamKind {
    Engine, ///< Serves one model.
    Service, ///< One runner of a plain service.
};

/**
 * \class UpstreamSpec
 * \brief A back end and what it can bear, as declared in the fleet configuration.
 */
struct UpstreamSpec {
    UpstreamId id;
    DataCentreId dataCentre;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    UpstreamKind kind = UpstreamKind::Engine;
    ModelId model; ///< Set for engines.
    ServiceId service; ///< Set for runners of a plain service.
    std::uint32_t maxRequests = 32; ///< Concurrent requests when warm.
    std::uint32_t coldRequests = 2; ///< Concurrent requests right after a cold start.
    std::uint64_t maxPrefillTokens = 1'000'000; ///< Prompt tokens in prefill when warm.
    std::uint64_t coldPrefillTokens = 20'000; ///< Prompt tokens in prefill right after a cold start.
    std::uint64_t memoryTokens = 400'000; ///< KV memory, in tokens.
    bool checksFencing = false; ///< Whether it rejects commands with a stale fencing token.

    friend bool operator==(const UpstreamSpec &, const UpstreamSpec &) = default;
};

}
