#pragma once

#include "Membership/HostStatus.h"

#include <vector>

namespace Mangofall::Membership {

/**
 * \class DataCentreDigest
 * \brief Summary of one data centre that travels over the links to the others.
 *
 * It holds only a few host claims; the roster holds all of them.
 */
struct DataCentreDigest {
    DataCentreId dataCentre;
    RegionId region;
    HostId sender; ///< Host that composed it.
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0; ///< Counter of the sender.
    std::vector<HostStatus> hosts; ///< Changed hosts first, then hosts in rotation.
    std::string loadSummary; ///< Opaque; load of the data centre's upstreams together.

    friend bool operator==(const DataCentreDigest &, const DataCentreDigest &) = default;
};

}
