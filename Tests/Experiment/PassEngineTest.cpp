#include "Experiment/PassEngine.h"

#include "Placement/EngineCost.h"
#include "PlacementFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Mangofall;
using namespace Mangofall::Experiment;
using namespace Mangofall::Placement::Testing;
using std::chrono::milliseconds;

namespace {

/// Runs iterations until the part of \p attempt is prefilled and returns the time that they take.
Duration runUntilPrefilled(PassEngine &engine, AttemptNumber attempt)
{
    Duration time{};
    while (const std::optional<Duration> iteration = engine.startIteration()) {
        time += *iteration;
        const IterationResult result = engine.finishIteration();
        if (std::find(result.prefilledParts.begin(), result.prefilledParts.end(), attempt) != result.prefilledParts.end()) {
            return time;
        }
    }
    FAIL("the engine became idle before the prompt was prefilled");
    return time;
}

}

TEST_GROUP(PassEngineTest){};

// Guards against a simulation whose prefill is faster or slower than the published formula: 182,000 tokens take 3.9 s on an engine without other work.
TEST(PassEngineTest, PrefillsAtThePublishedRate)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {182'000, 1, 182'000});
    const Duration time = runUntilPrefilled(engine, 1);
    const Duration prefillAlone = Placement::prefillTime(engineSpec(), 182'000, 1);
    CHECK(time >= prefillAlone);
    // Each of the 89 chunks also takes a step of 1.31 ms.
    CHECK(time <= prefillAlone + milliseconds(120));
}

// Guards against a simulation in which prefill does not delay the requests in decode on the same engine.
TEST(PassEngineTest, PrefillMakesTheIterationsOfDecodingRequestsLonger)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {5'000, 1, 6'000});
    runUntilPrefilled(engine, 1);
    engine.startDecoding(1);
    const Duration alone = *engine.startIteration();
    CHECK_EQUAL(1, engine.finishIteration().decodedAttempts.size());
    engine.submit(2, {45'000, 1, 46'000});
    const Duration withPrefill = *engine.startIteration();
    CHECK(withPrefill > alone + milliseconds(400));
}

// Guards against parts for other engines that wait for the prefill of the engine's own prompts.
TEST(PassEngineTest, PartsForOtherEnginesArePrefilledFirst)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {45'000, 1, 46'000});
    engine.submitHelperPart(2, {182'000, 8, 0});
    const Duration partTime = runUntilPrefilled(engine, 2);
    CHECK(partTime < Placement::prefillTime(engineSpec(), 182'000, 8) + milliseconds(50));
}

// Guards against an engine that runs more requests at the same time than it has slots.
TEST(PassEngineTest, RequestsBeyondTheSlotsWait)
{
    PassEngine engine(engineSpec());
    for (AttemptNumber attempt = 1; attempt <= 17; ++attempt) {
        engine.submit(attempt, {2'000, 1, 2'000});
    }
    std::size_t prefilled = 0;
    while (engine.startIteration()) {
        prefilled += engine.finishIteration().prefilledParts.size();
    }
    CHECK_EQUAL(16, prefilled);
    engine.remove(1);
    runUntilPrefilled(engine, 17);
}
