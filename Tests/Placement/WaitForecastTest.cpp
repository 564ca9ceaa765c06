#include "Placement/WaitForecast.h"

#include <CppUTest/TestHarness.h>

using namespace Mangofall;
using Placement::WaitForecast;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(WaitForecastTest){};

// Guards against refusing what can be served: without other work the wait is the work before the demand over all upstreams.
TEST(WaitForecastTest, TheWaitFollowsFromTheWorkAhead)
{
    const WaitForecast forecast;
    const TimePoint now;
    CHECK(forecast.wait(Duration::zero(), 4, true, now) == Duration::zero());
    const Duration wait = forecast.wait(seconds(8), 4, true, now);
    CHECK(wait >= seconds(2));
    CHECK(wait <= seconds(3));
}

// Guards against promising late demands the time that arriving work takes.
TEST(WaitForecastTest, LateDemandsWaitLongerWhileMuchWorkArrives)
{
    WaitForecast forecast;
    TimePoint now;
    for (int arrivals = 0; arrivals < 2'000; ++arrivals) {
        now += milliseconds(10);
        forecast.offered(milliseconds(30), now);
    }
    const Duration onTime = forecast.wait(seconds(8), 4, false, now);
    const Duration late = forecast.wait(seconds(8), 4, true, now);
    CHECK(late > onTime * 3);
    // The load that has gone must not count for long.
    CHECK(forecast.wait(seconds(8), 4, true, now + seconds(60)) < onTime * 1.1);
}

// Guards against a single prompt that takes many engines for seconds and makes the service look overloaded.
TEST(WaitForecastTest, OneLargePromptIsNoOverload)
{
    WaitForecast forecast;
    const TimePoint now;
    forecast.offered(seconds(25), now);
    CHECK(forecast.wait(seconds(5), 18, true, now) < seconds(1));
}
