#include "Placement/UnknownLoad.h"

#include "PlacementFixtures.h"
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

PlacementRequestId id(std::uint64_t number)
{
    return {HostId("entry"), number};
}

constexpr TimePoint start = TimePoint() + milliseconds(10'000);

}

TEST_GROUP(UnknownLoadTest){};

// Guards against load that stays after the requests behind it have ended, and against one that vanishes before the next report.
TEST(UnknownLoadTest, RequestsBeyondTheGrantsCountForAShortTime)
{
    UnknownLoad load;
    load.granted(id(1), start);
    load.reported({4, 2, 12}, start, start);
    LONGS_EQUAL(5, load.requests(start + milliseconds(1000)));
    LONGS_EQUAL(3, load.requests(start + milliseconds(2000)));
    LONGS_EQUAL(0, load.requests(start + milliseconds(3000)));
}

// Guards against an owner that takes its own requests for unknown load, because a report is older than its arrival.
TEST(UnknownLoadTest, GrantsThatMayHaveBeenRunningAreKnown)
{
    Mangofall::Testing::checkProperty("reports of the own grants show no unknown load", [](const std::vector<std::uint8_t> &steps) {
        UnknownLoad load;
        std::vector<std::uint64_t> running;
        std::uint64_t next = 0;
        TimePoint now = start;
        for (const std::uint8_t step : steps) {
            now += milliseconds(step % 50);
            const auto atUpstream = static_cast<std::uint32_t>(running.size());
            const TimePoint takenAt = now;
            if (step % 3 == 0 && !running.empty()) {
                load.ended(id(running.back()), now);
                running.pop_back();
            } else {
                load.granted(id(++next), now);
                running.push_back(next);
            }
            load.reported({atUpstream, 0, 12}, takenAt, now + milliseconds(step));
            RC_ASSERT(load.requests(now) == 0);
        }
    });
}

// Guards against a new owner that counts adopted grants twice, and against an old report that replaces a newer one.
TEST(UnknownLoadTest, AdoptedGrantsAreNoLongerUnknown)
{
    UnknownLoad load;
    load.reported({2, 0, 12}, start, start);
    load.adopted(id(1));
    LONGS_EQUAL(1, load.requests(start));
    load.reported({9, 0, 12}, start - milliseconds(100), start);
    LONGS_EQUAL(1, load.requests(start));
}
