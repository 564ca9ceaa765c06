#include "Property.h"

#include "Routing/LongShareAllocator.h"

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Mangofall;

namespace {

std::vector<UpstreamView> makeViews(int count)
{
    std::vector<UpstreamView> views(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        views[static_cast<std::size_t>(index)].id = UpstreamId("u" + std::to_string(index));
        views[static_cast<std::size_t>(index)].state = UpstreamState::Warm;
    }
    return views;
}

auto longCount(const std::vector<UpstreamView> &views)
{
    return std::count_if(views.begin(), views.end(), [](const UpstreamView &view) {
        return view.designatedForLong;
    });
}

}

TEST_GROUP(LongShareAllocatorTest){};

// Guards against long work without a designated upstream, shares that ignore the share of long work, and a weight with the opposite effect.
TEST(LongShareAllocatorTest, ShareFollowsMixAndWeight)
{
    Testing::checkProperty("equal load at weight 0.5, fewer upstreams designated for long prompts at higher weights", [] {
        const int count = *rc::gen::inRange(1, 40);
        const double longWorkShare = *rc::gen::inRange(0, 101) / 100.0;
        const double minShare = *rc::gen::inRange(0, 30) / 100.0;
        std::vector<UpstreamView> views = makeViews(count);
        LongShareAllocator equalLoad(0.5, minShare);
        equalLoad.assign(views, longWorkShare);
        const auto expected = std::clamp(std::max(longWorkShare, minShare) * count, 1.0, static_cast<double>(count));
        RC_ASSERT(std::abs(static_cast<double>(longCount(views)) - expected) <= 1);
        std::vector<UpstreamView> shortViews = makeViews(count);
        LongShareAllocator(1, minShare).assign(shortViews, longWorkShare);
        std::vector<UpstreamView> longViews = makeViews(count);
        LongShareAllocator(0, minShare).assign(longViews, longWorkShare);
        RC_ASSERT(longCount(shortViews) <= longCount(views) + 1);
        RC_ASSERT(longCount(views) <= longCount(longViews) + 1);
        RC_ASSERT(longCount(shortViews) >= 1);
    });
}

// Guards against long prompts that go to upstreams which accept no requests.
TEST(LongShareAllocatorTest, SkipsUpstreamsOutOfService)
{
    std::vector<UpstreamView> views = makeViews(6);
    for (std::size_t index = 0; index < 5; ++index) {
        views[index].state = UpstreamState::Out;
    }
    LongShareAllocator(0.5, 0.1).assign(views, 0.5);
    LONGS_EQUAL(1, longCount(views));
    CHECK(views[5].designatedForLong);
}
