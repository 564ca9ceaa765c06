#include "Experiment/Workload.h"

#include "Property.h"

#include "ExperimentFixtures.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Experiment;
using namespace Mangofall::Experiment::Testing;

namespace {

std::size_t count(const std::vector<PromptRequest> &requests, std::size_t kind, Duration from, Duration to)
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [=](const PromptRequest &request) {
        return request.kind == kind && request.arrival >= from && request.arrival < to;
    }));
}

}

TEST_GROUP(WorkloadTest){};

// Guards against comparisons in which the policies get different requests.
TEST(WorkloadTest, TheSameSeedYieldsTheSameRequests)
{
    const auto first = makeWorkload(scenarioNamed("steady"), 7);
    const auto second = makeWorkload(scenarioNamed("steady"), 7);
    CHECK_EQUAL(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].arrival == second[index].arrival);
        CHECK_EQUAL(first[index].promptTokens, second[index].promptTokens);
    }
}

// Guards against bursts that do not raise the rate of arrivals or raise it outside their time span.
TEST(WorkloadTest, ABurstMultipliesTheArrivalsOfItsSpan)
{
    const Scenario scenario = scenarioNamed("short-burst");
    std::size_t inside = 0;
    std::size_t before = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto requests = makeWorkload(scenario, seed);
        inside += count(requests, 0, std::chrono::seconds(10), std::chrono::seconds(15));
        before += count(requests, 0, std::chrono::seconds(5), std::chrono::seconds(10));
    }
    // 20 runs of 5 s at 36 requests per second: 3,600 are expected before the burst, with a standard deviation of 60, and three times as many in it.
    CHECK(before > 3'300 && before < 3'900);
    CHECK(inside > 10'200 && inside < 11'400);
}

// Guards against prompt lengths whose mean is not that of their kind.
TEST(WorkloadTest, TheMeanLengthIsThatOfTheKind)
{
    double tokens = 0;
    double requests = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        for (const PromptRequest &request : makeWorkload(scenarioNamed("steady"), seed)) {
            if (request.kind == 2) {
                tokens += static_cast<double>(request.promptTokens);
                ++requests;
            }
        }
    }
    CHECK(tokens / requests > 0.93 * 182'000);
    CHECK(tokens / requests < 1.07 * 182'000);
}
