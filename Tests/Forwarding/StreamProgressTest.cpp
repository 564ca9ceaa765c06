#include "Forwarding/StreamProgress.h"

#include <CppUTest/TestHarness.h>

using namespace Mangofall;
using Forwarding::StreamProgress;
using std::chrono::milliseconds;

TEST_GROUP(StreamProgressTest){};

// Guards against events that are relayed twice when a stream is resumed at another upstream.
TEST(StreamProgressTest, AnEventCountsOnce)
{
    StreamProgress progress(TimePoint(), 3);
    CHECK_FALSE(progress.markReceived(3));
    CHECK(progress.markReceived(4));
    CHECK_FALSE(progress.markReceived(4));
    CHECK_EQUAL(4, progress.lastEventId());
}

// Guards against counting the wait for the first event as a pause between events.
TEST(StreamProgressTest, PausesAreBetweenEventsOnly)
{
    const TimePoint start;
    StreamProgress progress(start, 0);
    CHECK_FALSE(progress.timeToFirstEvent().has_value());
    progress.recordRelay(start + milliseconds(500));
    progress.recordRelay(start + milliseconds(620));
    progress.recordRelay(start + milliseconds(650));
    CHECK(*progress.timeToFirstEvent() == milliseconds(500));
    CHECK(progress.longestPause() == milliseconds(120));
}
