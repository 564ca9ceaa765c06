#include "Placement/RateWindow.h"

#include "Property.h"

#include <deque>

using namespace Mangofall;
using Placement::RateWindow;
using std::chrono::milliseconds;

TEST_GROUP(RateWindowTest){};

// Guards against sending a cold upstream more requests in any second than its limit, which makes it crash.
TEST(RateWindowTest, AnySecondKeepsTheRate)
{
    Mangofall::Testing::checkProperty("events in any window stay within the rate", [](const std::vector<std::uint8_t> &gaps) {
        RateWindow window(std::chrono::seconds(1), 5);
        TimePoint now;
        std::deque<TimePoint> events;
        for (const std::uint8_t gap : gaps) {
            now += milliseconds(gap);
            if (!window.hasRoom(now)) {
                continue;
            }
            window.add(now);
            events.push_back(now);
            while (events.front() + std::chrono::seconds(1) <= now) {
                events.pop_front();
            }
            RC_ASSERT(events.size() <= 5U);
        }
    });
}

// Guards against a place in the window that is lost, or free too early, when an event comes before its latest time.
TEST(RateWindowTest, AnEventCountsFromWhenItHappened)
{
    RateWindow window(std::chrono::seconds(1), 1);
    const TimePoint start = TimePoint() + std::chrono::seconds(1);
    window.add(start + milliseconds(300));
    CHECK_FALSE(window.hasRoom(start + milliseconds(1299)));
    CHECK(window.hasRoom(start + milliseconds(1300)));
    window.move(start + milliseconds(300), start + milliseconds(40));
    CHECK_FALSE(window.hasRoom(start + milliseconds(1039)));
    CHECK(window.hasRoom(start + milliseconds(1040)));
}

// Guards against limiting the requests of a service that has no limit.
TEST(RateWindowTest, ZeroMeansNoLimit)
{
    RateWindow window(std::chrono::seconds(1), 0);
    for (int count = 0; count < 1000; ++count) {
        window.add(TimePoint());
    }
    CHECK(window.hasRoom(TimePoint()));
}
