#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class UpstreamEntry
 * \brief One upstream that may be given work, as the upstream list describes it.
 */
struct UpstreamEntry {
    UpstreamId id; ///< One start of the upstream's process; another start has another id or a later startedAt.
    ServiceId service;
    NetworkAddress address;
    DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool accepting = true; ///< False while it leaves or its data centre is out of service.
    TimePoint coldUntil; ///< Until then its requests per second are limited.
    std::uint64_t startedAt = 0; ///< Distinguishes starts under the same id; 0 if unknown.

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

}
