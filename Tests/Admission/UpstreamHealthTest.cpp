#include "Property.h"

#include "Admission/UpstreamHealth.h"

using namespace Mangofall;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamHealthTest){};

// Guards against an upstream that stays at its cold caps although it completes attempts with good latency, and against a state
// that is warm too early.
TEST(UpstreamHealthTest, CompletedWorkWarmsUp)
{
    UpstreamHealth health{UpstreamSpec{}};
    TimePoint now;
    health.recordLoadReport(now, 1, 1s);
    CHECK(health.state() == UpstreamState::Cold);
    for (int count = 0; count < 59; ++count) {
        health.recordCompletion(now, 20'000);
        CHECK(health.state() == UpstreamState::Warming);
    }
    health.recordCompletion(now, 20'000);
    CHECK(health.state() == UpstreamState::Warm);
    LONGS_EQUAL(32, health.caps().requests);
    LONGS_EQUAL(1'000'000, health.caps().prefillTokens);
}

// Guards against warm caps after a restart, a refused connection, an outage or a return to service.
TEST(UpstreamHealthTest, EveryPossibleRestartLeadsToTheColdCaps)
{
    Testing::checkProperty("each sign of a restart makes the upstream cold; attempts sent before it do not raise the caps", [] {
        UpstreamHealth health{UpstreamSpec{}};
        const TimePoint before;
        health.recordLoadReport(before, 5, 100s);
        for (int count = 0; count < 100; ++count) {
            health.recordCompletion(before, 10'000);
        }
        const TimePoint now = before + 1s;
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            health.recordLoadReport(now, 4, 101s);
            break;
        case 1:
            health.recordLoadReport(now, 6, 101s);
            break;
        case 2:
            health.recordLoadReport(now, 5, 99s);
            break;
        case 3:
            health.recordConnectionRefused(now);
            break;
        case 4:
            health.markUnresponsive();
            RC_ASSERT(health.state() == UpstreamState::Suspect);
            health.recordProbeSuccess(now);
            break;
        default:
            health.takeOutOfService();
            RC_ASSERT(health.state() == UpstreamState::Out);
            health.recordLoadReport(now, 5, 1s);
            RC_ASSERT(health.state() == UpstreamState::Out);
            health.returnToService(now);
        }
        health.recordCompletion(before, 10'000);
        RC_ASSERT(health.state() == UpstreamState::Cold);
        RC_ASSERT(health.caps() == (Caps{2, 20'000}));
    });
}

// Guards against caps that shrink several times in one round of overload, and against caps below the cold caps, which a
// cold upstream sustains.
TEST(UpstreamHealthTest, ShrinksOncePerRoundDownToTheColdCaps)
{
    UpstreamHealth health{UpstreamSpec{}};
    TimePoint now;
    health.adoptCaps({32, 1'000'000});
    health.recordOverload(now + 1s, now);
    health.recordOverload(now + 2s, now);
    LONGS_EQUAL(22, health.caps().requests);
    for (int round = 2; round < 40; ++round) {
        health.recordOverload(now + round * 1s, now + round * 1s);
    }
    CHECK(health.caps() == (Caps{2, 20'000}));
}
