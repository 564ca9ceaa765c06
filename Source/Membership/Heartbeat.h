#pragma once

#include "Membership/DataCentreDigest.h"

namespace Mangofall::Membership {

/**
 * \class Heartbeat
 * \brief What a host says about itself, in heartbeats and in answers to probes.
 */
struct Heartbeat {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counter within the incarnation.
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    Revision revision = 0; ///< Configuration in force.
    bool leaving = false;
    std::string loadSummary; ///< Opaque bytes; empty if this heartbeat carries none.
    std::vector<DataCentreDigest> digests; ///< Digests that this host relays within its data centre.

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

}
