#include "Forwarding/RetryPolicy.h"

#include "Property.h"

#include <array>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ampleTime{10'000};

AttemptOutcome outcomeOf(std::uint8_t value)
{
    constexpr std::array outcomes
        = {AttemptOutcome::NotSent, AttemptOutcome::NotExecuted, AttemptOutcome::MayHaveRun, AttemptOutcome::Failed, AttemptOutcome::Answered};
    return outcomes[value % outcomes.size()];
}

}

TEST_GROUP(RetryPolicyTest){};

// Guards against an order that is retried although it may have run: it could then run, and be charged, twice.
TEST(RetryPolicyTest, ARequestThatMayRunOnceIsNeverSentAgainAfterItMayHaveRun)
{
    Mangofall::Testing::checkProperty("no retry after a possible run", [](const std::vector<std::uint8_t> &outcomes) {
        RetryPolicy policy(false, 5);
        for (const std::uint8_t value : outcomes) {
            const AttemptOutcome outcome = outcomeOf(value);
            const NextStep step = policy.decide(outcome, ampleTime);
            const bool ran = outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::Failed;
            RC_ASSERT(!(ran && step == NextStep::Retry));
            if (step != NextStep::Retry) {
                return;
            }
        }
    });
}

// Guards against a refusal which claims that a request did not run although it may have.
TEST(RetryPolicyTest, OnlyRequestsThatDidNotRunAreRefused)
{
    Mangofall::Testing::checkProperty("no refusal after a possible run", [](const std::vector<std::uint8_t> &outcomes, bool repeatable, std::uint8_t maxRuns) {
        RetryPolicy policy(repeatable, maxRuns);
        bool mayHaveRun = false;
        for (const std::uint8_t value : outcomes) {
            const AttemptOutcome outcome = outcomeOf(value);
            mayHaveRun = mayHaveRun || outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::Failed;
            const NextStep step = policy.decide(outcome, ampleTime);
            RC_ASSERT(!(step == NextStep::Refuse && mayHaveRun));
            if (step != NextStep::Retry) {
                return;
            }
        }
    });
}

// Guards against a request that runs on more upstreams than its route allows.
TEST(RetryPolicyTest, RunsStayWithinTheRoutesLimit)
{
    RetryPolicy policy(true, 2);
    CHECK(policy.mayRunAgain());
    CHECK(policy.decide(AttemptOutcome::MayHaveRun, ampleTime) == NextStep::Retry);
    CHECK_FALSE(policy.mayRunAgain());
    CHECK(policy.decide(AttemptOutcome::MayHaveRun, ampleTime) == NextStep::Fail);
}

// Guards against an upstream's error answer being replaced by one that the host generates.
TEST(RetryPolicyTest, AnErrorAnswerIsDeliveredWhenNoRetryIsLeft)
{
    RetryPolicy policy(false, 1);
    CHECK(policy.decide(AttemptOutcome::Failed, ampleTime) == NextStep::Deliver);
}

// Guards against a retry that cannot be answered before the caller's deadline.
TEST(RetryPolicyTest, NothingIsSentAgainWithoutTimeLeft)
{
    RetryPolicy policy(true, 3);
    CHECK(policy.decide(AttemptOutcome::NotExecuted, milliseconds(5)) == NextStep::Refuse);
}

// Guards against endless retries on upstreams that refuse without running the request.
TEST(RetryPolicyTest, RefusalsWithoutARunAreBounded)
{
    RetryPolicy policy(false, 1);
    int retries = 0;
    while (policy.decide(AttemptOutcome::NotExecuted, ampleTime) == NextStep::Retry) {
        ++retries;
        CHECK(retries < 20);
    }
}
