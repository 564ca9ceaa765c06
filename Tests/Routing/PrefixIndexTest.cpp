#include "Property.h"

#include "Routing/PrefixIndex.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace Mangofall;

TEST_GROUP(PrefixIndexTest){};

// Guards against unbounded memory and against a belief that no route or event ever justified.
TEST(PrefixIndexTest, StaysBoundedAndBelievesOnlyWhatItWasTold)
{
    Testing::checkProperty("bounded, sound and gap-safe", [] {
        const auto limit = *rc::gen::inRange<std::size_t>(0, 30);
        PrefixIndex index(limit);
        std::map<int, std::set<std::uint64_t>> told;
        std::map<int, std::uint64_t> last;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const int number = *rc::gen::inRange(0, 3);
            const UpstreamId upstream(std::to_string(number));
            if (*rc::gen::inRange(0, 2) == 0) {
                const auto blocks = *rc::gen::container<std::vector<std::uint64_t>>(4, rc::gen::inRange<std::uint64_t>(0, 20));
                index.recordRoute(upstream, blocks);
                told[number].insert(blocks.begin(), blocks.end());
            } else {
                const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 40);
                const auto kind = *rc::gen::element(CacheEventKind::Stored, CacheEventKind::Removed, CacheEventKind::Cleared);
                const auto block = *rc::gen::inRange<std::uint64_t>(0, 20);
                index.apply({upstream, sequence, kind, block});
                const bool first = !last.contains(number);
                if (!first && sequence <= last[number]) {
                    continue;
                }
                if ((!first && sequence != last[number] + 1) || kind == CacheEventKind::Cleared) {
                    told[number].clear();
                }
                last[number] = sequence;
                if (kind == CacheEventKind::Stored) {
                    told[number].insert(block);
                } else {
                    told[number].erase(block);
                }
            }
            RC_ASSERT(index.entryCount() <= limit);
            for (std::uint64_t block = 0; block < 20; ++block) {
                const std::vector<std::uint64_t> one = {block};
                RC_ASSERT(index.cachedBlocks(upstream, one) == 0 || told[number].contains(block));
            }
        }
    });
}

// Guards against eviction of the leading blocks first, which would make the remaining ones useless.
TEST(PrefixIndexTest, KeepsLeadingBlocksLongest)
{
    PrefixIndex index(3);
    const std::vector<std::uint64_t> blocks = {1, 2, 3, 4, 5};
    index.recordRoute(UpstreamId("u"), blocks);
    LONGS_EQUAL(3, index.cachedBlocks(UpstreamId("u"), blocks));
    LONGS_EQUAL(0, index.cachedBlocks(UpstreamId("v"), blocks));
}
