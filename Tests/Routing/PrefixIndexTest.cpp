#include "Property.h"

#include "Routing/PrefixIndex.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace Mangofall;

TEST_GROUP(PrefixIndexTest){};

// Guards against unbounded memory and against entries that no routed prompt or cache event has added.
TEST(PrefixIndexTest, StaysBoundedAndBelievesOnlyWhatItWasTold)
{
    Testing::checkProperty("the index stays bounded, holds only reported blocks and drops entries after a gap", [] {
        const auto maxEntries = *rc::gen::inRange<std::size_t>(0, 30);
        PrefixIndex index(maxEntries);
        std::map<int, std::set<std::uint64_t>> reportedBlocks;
        std::map<int, std::uint64_t> lastSequence;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const int number = *rc::gen::inRange(0, 3);
            const UpstreamId upstream(std::to_string(number));
            if (*rc::gen::inRange(0, 2) == 0) {
                const auto blocks = *rc::gen::container<std::vector<std::uint64_t>>(4, rc::gen::inRange<std::uint64_t>(0, 20));
                index.recordRoute(upstream, blocks);
                reportedBlocks[number].insert(blocks.begin(), blocks.end());
            } else {
                const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 40);
                const auto kind = *rc::gen::element(CacheEventKind::Stored, CacheEventKind::Removed, CacheEventKind::Cleared);
                const auto block = *rc::gen::inRange<std::uint64_t>(0, 20);
                index.apply({upstream, sequence, kind, block});
                const bool first = !lastSequence.contains(number);
                if (!first && sequence <= lastSequence[number]) {
                    continue;
                }
                if ((!first && sequence != lastSequence[number] + 1) || kind == CacheEventKind::Cleared) {
                    reportedBlocks[number].clear();
                }
                lastSequence[number] = sequence;
                if (kind == CacheEventKind::Stored) {
                    reportedBlocks[number].insert(block);
                } else {
                    reportedBlocks[number].erase(block);
                }
            }
            RC_ASSERT(index.entryCount() <= maxEntries);
            for (std::uint64_t block = 0; block < 20; ++block) {
                const std::vector<std::uint64_t> singleBlock = {block};
                RC_ASSERT(index.cachedBlocks(upstream, singleBlock) == 0 || reportedBlocks[number].contains(block));
            }
        }
    });
}

// Guards against eviction of a prompt's leading blocks first, which would make its other blocks useless.
TEST(PrefixIndexTest, KeepsLeadingBlocksLongest)
{
    PrefixIndex index(3);
    const std::vector<std::uint64_t> blocks = {1, 2, 3, 4, 5};
    index.recordRoute(UpstreamId("u"), blocks);
    LONGS_EQUAL(3, index.cachedBlocks(UpstreamId("u"), blocks));
    LONGS_EQUAL(0, index.cachedBlocks(UpstreamId("v"), blocks));
}
