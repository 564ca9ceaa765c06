#include "Membership/OwnershipSnapshot.h"

namespace Mangofall::Membership {

OwnershipSnapshot::OwnershipSnapshot(std::uint64_t version, std::unordered_map<UpstreamId, Owner> dispatchers, std::map<LedgerShard, Owner> shards)
    : m_version(version)
    , m_dispatchers(std::move(dispatchers))
    , m_shards(std::move(shards))
{
}

std::uint64_t OwnershipSnapshot::version() const
{
    return m_version;
}

const Owner *OwnershipSnapshot::dispatcherOf(const UpstreamId &upstream) const
{
    const auto found = m_dispatchers.find(upstream);
    return found == m_dispatchers.end() ? nullptr : &found->second;
}

const Owner *OwnershipSnapshot::ownerOf(const LedgerShard &shard) const
{
    const auto found = m_shards.find(shard);
    return found == m_shards.end() ? nullptr : &found->second;
}

const std::unordered_map<UpstreamId, Owner> &OwnershipSnapshot::dispatchers() const
{
    return m_dispatchers;
}

const std::map<LedgerShard, Owner> &OwnershipSnapshot::shards() const
{
    return m_shards;
}

}
