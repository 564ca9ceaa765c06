#include "Experiment/PassEngine.h"

#include "Placement/EngineCost.h"
#include "PlacementFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Mangofall;
using namespace Mangofall::Experiment;
using namespace Mangofall::Placement::Testing;
using std::chrono::milliseconds;

namespace {

/// Runs passes until \p attempt is read; the time that they took.
Duration readAll(PassEngine &engine, AttemptNumber attempt)
{
    Duration time{};
    while (const std::optional<Duration> pass = engine.startPass()) {
        time += *pass;
        const PassResult result = engine.finishPass();
        if (std::find(result.partsRead.begin(), result.partsRead.end(), attempt) != result.partsRead.end()) {
            return time;
        }
    }
    FAIL("the engine became idle before the prompt was read");
    return time;
}

}

TEST_GROUP(PassEngineTest){};

// Guards against a model that reads faster or slower than the published formula: 182,000 tokens take 3.9 s alone.
TEST(PassEngineTest, ReadsAtThePublishedRate)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {182'000, 1, 182'000});
    const Duration time = readAll(engine, 1);
    const Duration reading = Placement::prefillTime(engineSpec(), 182'000, 1);
    CHECK(time >= reading);
    // Each of the 89 chunks has a step of 1.31 ms besides.
    CHECK(time <= reading + milliseconds(120));
}

// Guards against a model in which reading does not pause the writers beside it.
TEST(PassEngineTest, AReadMakesThePassOfWritersLonger)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {5'000, 1, 6'000});
    readAll(engine, 1);
    engine.startWriting(1);
    const Duration alone = *engine.startPass();
    CHECK_EQUAL(1, engine.finishPass().pieces.size());
    engine.submit(2, {45'000, 1, 46'000});
    const Duration beside = *engine.startPass();
    CHECK(beside > alone + milliseconds(400));
}

// Guards against helpers' parts that wait behind the engine's own prompts.
TEST(PassEngineTest, PartsForOtherEnginesAreReadFirst)
{
    PassEngine engine(engineSpec());
    engine.submit(1, {45'000, 1, 46'000});
    engine.help(2, {182'000, 8, 0});
    const Duration part = readAll(engine, 2);
    CHECK(part < Placement::prefillTime(engineSpec(), 182'000, 8) + milliseconds(50));
}

// Guards against more requests at once than the engine has slots.
TEST(PassEngineTest, RequestsBeyondTheSlotsWait)
{
    PassEngine engine(engineSpec());
    for (AttemptNumber attempt = 1; attempt <= 17; ++attempt) {
        engine.submit(attempt, {2'000, 1, 2'000});
    }
    std::size_t read = 0;
    while (engine.startPass()) {
        read += engine.finishPass().partsRead.size();
    }
    CHECK_EQUAL(16, read);
    engine.remove(1);
    readAll(engine, 17);
}
