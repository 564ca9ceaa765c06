#include "Property.h"

#include "Admission/OrganisationLimiter.h"

#include <vector>

using namespace Mangofall;

TEST_GROUP(OrganisationLimiterTest){};

// Guards against request bursts and tokens in flight above the share, also when the share changes.
TEST(OrganisationLimiterTest, NeverExceedsRateOrTokens)
{
    Testing::checkProperty("admissions stay within the share", [] {
        const OrganisationId organisation("o");
        OrganisationLimiter limiter;
        TimePoint now;
        double allowed = 0;
        double highestCapacity = 0;
        double rate = 0;
        std::uint64_t tokenLimit = 0;
        std::vector<std::uint64_t> running;
        std::uint64_t tokens = 0;
        int admitted = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            if (count == 0 || *rc::gen::inRange(0, 40) == 0) {
                rate = *rc::gen::inRange(1, 50);
                tokenLimit = *rc::gen::inRange<std::uint64_t>(1, 50'000);
                limiter.setShare(now, organisation, rate, tokenLimit);
                highestCapacity = count == 0 ? rate : highestCapacity;
            }
            const auto elapsed = std::chrono::milliseconds(*rc::gen::inRange(0, 100));
            now += elapsed;
            allowed += rate * Seconds(elapsed).count();
            const auto prompt = *rc::gen::inRange<std::uint64_t>(0, 10'000);
            if (limiter.admit(now, organisation, prompt) == ErrorKind::None) {
                ++admitted;
                tokens += prompt;
                running.push_back(prompt);
                RC_ASSERT(tokens <= tokenLimit);
            }
            if (!running.empty() && *rc::gen::arbitrary<bool>()) {
                limiter.release(organisation, running.back());
                tokens -= running.back();
                running.pop_back();
            }
            RC_ASSERT(limiter.tokensInFlight(organisation) == tokens);
            RC_ASSERT(admitted <= highestCapacity + allowed + 1e-6);
        }
    });
}

// Guards against a bucket that accumulates requests without bound while the organisation is idle.
TEST(OrganisationLimiterTest, IdleTimeSavesUpOneSecondAtMost)
{
    const OrganisationId organisation("o");
    OrganisationLimiter limiter;
    limiter.setShare(TimePoint(), organisation, 5, 0);
    const TimePoint now(std::chrono::hours(1));
    for (int count = 0; count < 5; ++count) {
        CHECK(limiter.admit(now, organisation, 1) == ErrorKind::None);
    }
    CHECK(limiter.admit(now, organisation, 1) == ErrorKind::RateLimited);
}

// Guards against a limiter that never admits requests again, and against limiting an organisation that has no limits.
TEST(OrganisationLimiterTest, RefillsAndLeavesUnlimitedAlone)
{
    const OrganisationId organisation("o");
    OrganisationLimiter limiter;
    TimePoint now;
    limiter.setShare(now, organisation, 0.5, 0);
    CHECK(limiter.admit(now, organisation, 1) == ErrorKind::None);
    CHECK(limiter.admit(now, organisation, 1) == ErrorKind::RateLimited);
    CHECK(limiter.admit(now + std::chrono::seconds(2), organisation, 1) == ErrorKind::None);
    for (int count = 0; count < 100; ++count) {
        CHECK(limiter.admit(now, OrganisationId("unlimited"), 1'000'000) == ErrorKind::None);
    }
}
