#pragma once

#include "Membership/HostStatus.h"

#include <vector>

namespace Mangofall::Membership {

/**
 * \class DataCentreDigest
 * \brief Summary of one data centre that is sent over the links to the other data centres.
 *
 * A digest holds only a few host claims; the roster holds the claims about all hosts of the data centre.
 */
struct DataCentreDigest {
    DataCentreId dataCentre;
    RegionId region;
    HostId sender; ///< Host that composed the digest.
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0; ///< Digest counter of the sender within its incarnation.
    std::vector<HostStatus> hosts; ///< Claims about recently changed hosts first, then about the other hosts in rotation.
    std::string loadSummary; ///< Opaque bytes; the combined load of all upstreams of the data centre.

    friend bool operator==(const DataCentreDigest &, const DataCentreDigest &) = default;
};

}
