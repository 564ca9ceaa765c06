#include "Property.h"

#include "Admission/UpstreamHealth.h"

using namespace Mangofall;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamHealthTest){};

// Guards against an upstream that stays at its cold caps although it completes work well, or is called warm too early.
TEST(UpstreamHealthTest, CompletedWorkWarmsUp)
{
    UpstreamHealth health{UpstreamSpec{}};
    TimePoint now;
    health.reported(now, 1, 1s);
    CHECK(health.state() == UpstreamState::Cold);
    for (int count = 0; count < 59; ++count) {
        health.completed(now, 20'000);
        CHECK(health.state() == UpstreamState::Warming);
    }
    health.completed(now, 20'000);
    CHECK(health.state() == UpstreamState::Warm);
    LONGS_EQUAL(32, health.caps().requests);
    LONGS_EQUAL(1'000'000, health.caps().prefillTokens);
}

// Guards against warm caps after a restart, a refused connection, an outage or a return to service.
TEST(UpstreamHealthTest, EveryPossibleRestartLeadsToTheColdCaps)
{
    Testing::checkProperty("each sign of a restart makes it cold; work sent before does not warm it", [] {
        UpstreamHealth health{UpstreamSpec{}};
        const TimePoint before;
        health.reported(before, 5, 100s);
        for (int count = 0; count < 100; ++count) {
            health.completed(before, 10'000);
        }
        const TimePoint now = before + 1s;
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            health.reported(now, 4, 101s);
            break;
        case 1:
            health.reported(now, 6, 101s);
            break;
        case 2:
            health.reported(now, 5, 99s);
            break;
        case 3:
            health.connectionRefused(now);
            break;
        case 4:
            health.unresponsive();
            RC_ASSERT(health.state() == UpstreamState::Suspect);
            health.probeSucceeded(now);
            break;
        default:
            health.takenOut();
            RC_ASSERT(health.state() == UpstreamState::Out);
            health.reported(now, 5, 1s);
            RC_ASSERT(health.state() == UpstreamState::Out);
            health.broughtBack(now);
        }
        health.completed(before, 10'000);
        RC_ASSERT(health.state() == UpstreamState::Cold);
        RC_ASSERT(health.caps() == (Caps{2, 20'000}));
    });
}

// Guards against several shrinks for one round of overload and against caps below what a cold upstream sustains.
TEST(UpstreamHealthTest, ShrinksOncePerRoundDownToTheColdCaps)
{
    UpstreamHealth health{UpstreamSpec{}};
    TimePoint now;
    health.adoptCaps({32, 1'000'000});
    health.overloaded(now + 1s, now);
    health.overloaded(now + 2s, now);
    LONGS_EQUAL(22, health.caps().requests);
    for (int round = 2; round < 40; ++round) {
        health.overloaded(now + round * 1s, now + round * 1s);
    }
    CHECK(health.caps() == (Caps{2, 20'000}));
}
