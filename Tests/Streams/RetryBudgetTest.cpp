// Comes before the CppUTest headers, whose redefinition of new breaks the pcg header.
#include "Streams/RetryBudget.h"

#include "Property.h"

#include <vector>

using namespace Mangofall;

TEST_GROUP(RetryBudgetTest){};

// Guards against a retry storm: more retries in any period than ratio and reserve allow, or backoffs above their bound.
TEST(RetryBudgetTest, RetriesStayWithinTheRatioOverAnyPeriod)
{
    Testing::checkProperty("retries are bounded over any period", [](const std::vector<bool> &calls, std::uint64_t seed) {
        const RetryLimits limits{0.25, 2, std::chrono::milliseconds(50), std::chrono::milliseconds(400)};
        RetryBudget budget(limits);
        RandomEngine random(seed);
        // Retries so far minus the retries earned so far. The excess of a period is the difference of two values.
        double excess = 0;
        double lowest = 0;
        for (const bool isRetry : calls) {
            if (!isRetry) {
                budget.countFirstAttempt();
                excess -= limits.ratio;
                lowest = std::min(lowest, excess);
                continue;
            }
            const auto retry = static_cast<std::uint32_t>(*rc::gen::inRange(1, 70));
            const auto wait = budget.takeRetry(retry, random);
            if (wait) {
                excess += 1;
                RC_ASSERT(*wait <= limits.maxBackoff);
                RC_ASSERT(retry > 1 || *wait <= limits.firstBackoff);
            }
            RC_ASSERT(excess - lowest <= limits.reserve);
        }
    });
}

// Guards against a budget that never refills.
TEST(RetryBudgetTest, FirstAttemptsEarnRetries)
{
    RetryBudget budget({0.5, 1, std::chrono::milliseconds(1), std::chrono::seconds(1)});
    RandomEngine random(1);
    CHECK(budget.takeRetry(1, random).has_value());
    CHECK_FALSE(budget.takeRetry(1, random).has_value());
    budget.countFirstAttempt();
    CHECK_FALSE(budget.takeRetry(1, random).has_value());
    budget.countFirstAttempt();
    CHECK(budget.takeRetry(1, random).has_value());
    LONGS_EQUAL(2, budget.retries());
    LONGS_EQUAL(2, budget.refusals());
}
