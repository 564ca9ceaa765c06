#include "Placement/WaitForecast.h"

#include <CppUTest/TestHarness.h>

using namespace Mangofall;
using Placement::WaitForecast;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(WaitForecastTest){};

// Guards against refusing requests that can be served: if no more work arrives, the wait is the work ahead divided among the upstreams.
TEST(WaitForecastTest, TheWaitFollowsFromTheWorkAhead)
{
    const WaitForecast forecast;
    const TimePoint now;
    CHECK(forecast.wait(Duration::zero(), 4, true, now) == Duration::zero());
    const Duration wait = forecast.wait(seconds(8), 4, true, now);
    CHECK(wait >= seconds(2));
    CHECK(wait <= seconds(3));
}

// Guards against planning with capacity for late requests that arriving work will take.
TEST(WaitForecastTest, LateRequestsWaitLongerWhileMuchWorkArrives)
{
    WaitForecast forecast;
    TimePoint now;
    for (int arrivals = 0; arrivals < 2'000; ++arrivals) {
        now += milliseconds(10);
        forecast.recordArrival(milliseconds(30), now);
    }
    const Duration onTime = forecast.wait(seconds(8), 4, false, now);
    const Duration late = forecast.wait(seconds(8), 4, true, now);
    CHECK(late > onTime * 3);
    // Work that arrived long ago must no longer count.
    CHECK(forecast.wait(seconds(8), 4, true, now + seconds(60)) < onTime * 1.1);
}

// Guards against taking the service for overloaded because of a single prompt that occupies many engines for seconds.
TEST(WaitForecastTest, OneLargePromptIsNotTakenForOverload)
{
    WaitForecast forecast;
    const TimePoint now;
    forecast.recordArrival(seconds(25), now);
    CHECK(forecast.wait(seconds(5), 18, true, now) < seconds(1));
}
