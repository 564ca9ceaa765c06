#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <cstdint>

namespace Mangofall::Placement {

/**
 * \class UpstreamEntry
 * \brief One upstream as the upstream list describes it.
 */
struct UpstreamEntry {
    UpstreamId id; ///< Identifies one run of the upstream's process; the next run has another id or a later startedAt.
    ServiceId service;
    NetworkAddress address;
    DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool accepting = true; ///< False while the upstream is leaving or its data centre is out of service.
    TimePoint coldUntil; ///< The upstream is cold until this time, and its requests per second are limited.
    std::uint64_t startedAt = 0; ///< Distinguishes runs with the same id; 0 if unknown.

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

/// Whether both entries are of the same run of an upstream's process.
inline bool isSameStart(const UpstreamEntry &left, const UpstreamEntry &right)
{
    return left.startedAt == right.startedAt && left.address == right.address && left.service == right.service;
}

}
