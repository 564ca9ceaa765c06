#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Mangofall::Membership {

/**
 * \class Owner
 * \brief The process that owns a key; another incarnation of the same host is another owner.
 */
struct Owner {
    HostId host;
    std::uint64_t incarnation = 0;

    friend bool operator==(const Owner &, const Owner &) = default;
};

/// A shard of the order ledger of a region.
struct LedgerShard {
    RegionId region;
    std::uint32_t index = 0;

    friend bool operator==(const LedgerShard &, const LedgerShard &) = default;
    friend bool operator<(const LedgerShard &left, const LedgerShard &right)
    {
        return std::tie(left.region, left.index) < std::tie(right.region, right.index);
    }
};

/**
 * \class OwnershipSnapshot
 * \brief Who owns what in one view; never changed once made, so traffic threads read it without a lock.
 */
class OwnershipSnapshot
{
public:
    OwnershipSnapshot() = default;
    OwnershipSnapshot(std::uint64_t version, std::unordered_map<UpstreamId, Owner> dispatchers, std::map<LedgerShard, Owner> shards);

    /// Counts the changes within this process.
    std::uint64_t version() const;
    /// Null if the upstream is not known or its data centre has no host that can own it.
    const Owner *dispatcherOf(const UpstreamId &upstream) const;
    const Owner *ownerOf(const LedgerShard &shard) const;

    const std::unordered_map<UpstreamId, Owner> &dispatchers() const;
    const std::map<LedgerShard, Owner> &shards() const;

private:
    std::uint64_t m_version = 0;
    std::unordered_map<UpstreamId, Owner> m_dispatchers;
    std::map<LedgerShard, Owner> m_shards;
};

}
