#pragma once

#include "Membership/DataCentreDigest.h"

namespace Mangofall::Membership {

/**
 * \class Heartbeat
 * \brief A host's report on itself, sent in heartbeats and in answers to probes.
 */
struct Heartbeat {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Heartbeat counter within the incarnation.
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    Revision revision = 0; ///< Revision of the configuration in force.
    bool leaving = false; ///< Whether the host runs its planned stop.
    std::string loadSummary; ///< Opaque bytes; empty if the heartbeat carries no load.
    std::vector<DataCentreDigest> digests; ///< Digests of other data centres that the host relays within its own.

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

}
