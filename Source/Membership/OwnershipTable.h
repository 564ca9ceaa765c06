#pragma once

#include "Membership/HostStatus.h"
#include "Membership/OwnershipSnapshot.h"

#include <memory>
#include <variant>

namespace Mangofall::Membership {

/// The states of hosts changed; \c hosts includes this host.
struct HostsChanged {
    std::vector<HostStatus> hosts;
};

/// The configuration changed the set of keys.
struct KeysChanged {
    std::map<UpstreamId, DataCentreId> upstreams; ///< Data centre of each upstream.
    std::map<RegionId, std::uint32_t> shards; ///< Number of ledger shards by region.
};

using OwnershipEvent = std::variant<HostsChanged, KeysChanged>;

using OwnershipKey = std::variant<UpstreamId, LedgerShard>;

/// A key's owner changed; \c before is empty if the key had no owner, \c now if it has none.
struct OwnershipMoved {
    OwnershipKey key;
    std::optional<Owner> before;
    std::optional<Owner> now;
};

/**
 * \class OwnershipTable
 * \brief Assigns upstreams to dispatchers within their data centre and ledger shards to hosts of their region, by rendezvous hashing.
 *
 * Alive and suspect hosts own keys. Suspect hosts keep theirs, so that a wrong suspicion does not move keys away and back.
 */
class OwnershipTable
{
public:
    using Actions = std::vector<OwnershipMoved>;

    OwnershipTable();

    /// Returns the keys whose owner changed. The calling host compares \c before and \c now with itself to find the keys that it gained and lost.
    Actions handle(const OwnershipEvent &event);

    std::shared_ptr<const OwnershipSnapshot> snapshot() const;

private:
    Actions recompute();

    std::vector<HostStatus> m_hosts;
    KeysChanged m_keys;
    std::shared_ptr<const OwnershipSnapshot> m_snapshot;
};

}
