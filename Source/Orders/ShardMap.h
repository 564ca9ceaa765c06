#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall::Orders {

/**
 * \class ShardMap
 * \brief Maps order keys to ledger shards and shards to store keys.
 *
 * The number of shards is part of the store keys. A fleet that is configured with another number starts with empty shards and
 * does not remember older orders, so the number may change only after the retention time has passed without new orders.
 */
class ShardMap
{
public:
    /// \p shards is the number of shards, at least 1.
    explicit ShardMap(std::uint32_t shards);

    std::uint32_t shards() const;

    /// The shard of \p key, a number below shards().
    std::uint32_t shardOf(const OrderKey &key) const;

    /// The store key of the head of \p shard; rendezvous hashing of the same key selects the shard's owner.
    std::string storeKey(std::uint32_t shard) const;

private:
    std::uint32_t m_shards;
};

}
