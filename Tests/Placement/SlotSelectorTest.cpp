#include "Placement/SlotSelector.h"

#include "Placement/UpstreamLoad.h"
#include "PlacementFixtures.h"
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

TEST_GROUP(SlotSelectorTest){};

// Guards against sending all requests to one upstream while another is free.
TEST(SlotSelectorTest, ChoosesTheUpstreamWithTheSmallestShareOfSlotsInUse)
{
    const TimePoint now;
    UpstreamLoad busy(upstream("a", orders, 4), 0);
    UpstreamLoad free(upstream("b", orders, 4), 0);
    busy.add({HostId("entry"), 1}, GrantLoad(), now);
    const auto selection = SlotSelector().select(orderRequest(2, now), {&busy, &free}, now);
    CHECK(selection.has_value());
    POINTERS_EQUAL(&free, selection->primary);
}

// Guards against sending more requests than an upstream has slots, which it would refuse.
TEST(SlotSelectorTest, AFullUpstreamGetsNothing)
{
    const TimePoint now;
    UpstreamLoad full(upstream("a", orders, 1), 0);
    full.add({HostId("entry"), 1}, GrantLoad(), now);
    CHECK_FALSE(SlotSelector().select(orderRequest(2, now), {&full}, now).has_value());
}
