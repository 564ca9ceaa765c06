#include "Orders/ShardMap.h"

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;

TEST_GROUP(ShardMapTest){};

// Guards against a key whose shard is out of range or differs between hosts.
TEST(ShardMapTest, EveryKeyHasOneShard)
{
    Testing::checkProperty("shards are in range and stable", [](const std::string &key, std::uint8_t count) {
        const ShardMap map(count);
        RC_ASSERT(map.shardOf(OrderKey(key)) < map.shards());
        RC_ASSERT(map.shardOf(OrderKey(key)) == ShardMap(count).shardOf(OrderKey(key)));
    });
    CHECK(ShardMap(4).storeKey(1) != ShardMap(8).storeKey(1));
}
