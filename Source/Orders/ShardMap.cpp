#include "Orders/ShardMap.h"

#include "Base/Hash.h"

#include <algorithm>

namespace Mangofall::Orders {

ShardMap::ShardMap(std::uint32_t shards)
    : m_shards(std::max(shards, 1U))
{
}

std::uint32_t ShardMap::shards() const
{
    return m_shards;
}

std::uint32_t ShardMap::shardOf(const OrderKey &key) const
{
    return static_cast<std::uint32_t>(hash64(key.value()) % m_shards);
}

std::string ShardMap::storeKey(std::uint32_t shard) const
{
    return "mangofall/orders/" + std::to_string(m_shards) + "/" + std::to_string(shard);
}

}
