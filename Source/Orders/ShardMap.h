#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <string>

namespace Mangofall::Orders {

/**
 * \class ShardMap
 * \brief Maps order keys to ledger shards and shards to store keys.
 *
 * The number of shards is part of the store keys: a fleet configured with another number starts with empty shards and
 * does not remember older orders. It may change only after the retention has passed without new orders.
 */
class ShardMap
{
public:
    /// \p shards is the number of shards, at least 1.
    explicit ShardMap(std::uint32_t shards);

    std::uint32_t shards() const;

    /// Shard of \p key, below shards().
    std::uint32_t shardOf(const OrderKey &key) const;

    /// Store key of the head of \p shard; also the key under which rendezvous hashing selects the shard's owner.
    std::string storeKey(std::uint32_t shard) const;

private:
    std::uint32_t m_shards;
};

}
