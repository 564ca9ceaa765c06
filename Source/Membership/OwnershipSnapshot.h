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
 * \brief Immutable map from keys to owners under one view; traffic threads read it without a lock.
 */
class OwnershipSnapshot
{
public:
    OwnershipSnapshot() = default;
    OwnershipSnapshot(std::uint64_t version, std::unordered_map<UpstreamId, Owner> dispatchers, std::map<LedgerShard, Owner> shards);

    /// Number of ownership changes so far in this process.
    std::uint64_t version() const;
    /// Owner of \p upstream; null if the upstream is unknown or its data centre has no host that can own it.
    const Owner *dispatcherOf(const UpstreamId &upstream) const;
    /// Owner of \p shard; null if the shard is unknown or its region has no host that can own it.
    const Owner *ownerOf(const LedgerShard &shard) const;

    const std::unordered_map<UpstreamId, Owner> &dispatchers() const;
    const std::map<LedgerShard, Owner> &shards() const;

private:
    std::uint64_t m_version = 0;
    std::unordered_map<UpstreamId, Owner> m_dispatchers;
    std::map<LedgerShard, Owner> m_shards;
};

}
