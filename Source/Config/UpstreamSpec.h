#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall {

enum class UpstreamKind {
    Engine, ///< Engine that serves one model.
    Service, ///< Instance of a plain service, one that is not a model.
};

/**
 * \class UpstreamSpec
 * \brief Address, kind and capacity of an upstream, as declared in the fleet configuration.
 */
struct UpstreamSpec {
    UpstreamId id;
    DataCentreId dataCentre;
    std::string address; ///< Numeric IP address.
    std::uint16_t port = 0;
    UpstreamKind kind = UpstreamKind::Engine;
    ModelId model; ///< Set for engines.
    ServiceId service; ///< Set for instances of a plain service.
    std::uint32_t maxRequests = 32; ///< Largest number of concurrent requests when warm.
    std::uint32_t coldRequests = 2; ///< Largest number of concurrent requests right after a cold start.
    std::uint64_t maxPrefillTokens = 1'000'000; ///< Largest number of prompt tokens in prefill when warm.
    std::uint64_t coldPrefillTokens = 20'000; ///< Largest number of prompt tokens in prefill right after a cold start.
    std::uint64_t memoryTokens = 400'000; ///< Size of the KV memory in tokens.
    bool checksFencing = false; ///< Whether the upstream rejects commands with a stale fencing token.

    friend bool operator==(const UpstreamSpec &, const UpstreamSpec &) = default;
};

}
