// CppUTest redefines new, which breaks the pcg header; headers that include pcg must come before it.
#include "StandIns/EngineModel.h"

#include "Property.h"

#include <vector>

using namespace Mangofall;
using namespace Mangofall::StandIns;

namespace {

constexpr std::chrono::milliseconds tickTime{10};

EngineOptions warmOptions()
{
    EngineOptions options;
    options.coldRequests = options.slots;
    return options;
}

EngineRequest makeRequest(const std::string &attempt, std::size_t promptTokens, int priority = 0)
{
    EngineRequest request;
    request.attempt = attempt;
    request.prompt = std::string(promptTokens * bytesPerToken, attempt.front());
    request.priority = priority;
    request.maxTokens = 4;
    return request;
}

TimePoint advanceUntilFinished(EngineModel &model, const AttemptPointer &attempt, TimePoint now)
{
    for (int tick = 0; tick < 100'000 && attempt->state != AttemptState::Finished; ++tick) {
        now += tickTime;
        model.advance(now);
        attempt->sent = attempt->produced;
    }
    return now;
}

}

TEST_GROUP(EngineModelTest){};

// Guards against reservations that outlive a cancelled, finished or lost attempt, and against use of more KV memory than the engine has.
TEST(EngineModelTest, MemoryIsBoundedAndReturned)
{
    Testing::checkProperty("KV memory is bounded and returned", [](const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps) {
        EngineOptions options = warmOptions();
        options.memoryTokens = 50'000;
        EngineModel model(options, TimePoint{});
        TimePoint now{};
        std::size_t names = 0;
        for (const auto &[kind, size] : steps) {
            AttemptPointer attempt;
            if (kind % 4 < 2) {
                model.submit(makeRequest("a" + std::to_string(names++), size), now, attempt);
            } else if (kind % 4 == 2) {
                model.cancel("a" + std::to_string(names == 0 ? 0 : size % names), now);
            } else if (kind < 16) {
                model.crash(now);
            }
            now += std::chrono::milliseconds(kind);
            model.advance(now);
            RC_ASSERT(model.reservedTokens() + model.cache().tokens() <= options.memoryTokens);
        }
        for (std::size_t name = 0; name < names; ++name) {
            model.cancel("a" + std::to_string(name), now);
        }
        RC_ASSERT(model.reservedTokens() == 0U);
    });
}

// Guards against a cold engine that accepts any load, which would hide that a dispatcher has no cap for cold engines.
TEST(EngineModelTest, ColdEngineCrashesAboveItsLimit)
{
    EngineOptions options;
    EngineModel model(options, TimePoint{});
    AttemptPointer attempt;
    for (std::size_t count = 0; count < options.coldRequests; ++count) {
        CHECK(model.submit(makeRequest("a" + std::to_string(count), 1000), TimePoint{}, attempt) == StandIns::Admission::Accepted);
    }
    CHECK(model.submit(makeRequest("last", 1000), TimePoint{}, attempt) == StandIns::Admission::Crashed);
    LONGS_EQUAL(1, model.counts().crashes);
    LONGS_EQUAL(2, model.load(TimePoint{}).epoch);
}

// Guards against a prefill that ignores priority, or one that gives an attempt of lower priority nothing.
TEST(EngineModelTest, PriorityShortensPrefill)
{
    EngineModel model(warmOptions(), TimePoint{});
    AttemptPointer longAttempt;
    AttemptPointer shortAttempt;
    model.submit(makeRequest("l", 100'000, 0), TimePoint{}, longAttempt);
    model.submit(makeRequest("s", 2000, 3), TimePoint{}, shortAttempt);
    const TimePoint shortEnd = advanceUntilFinished(model, shortAttempt, TimePoint{});
    CHECK(longAttempt->state == AttemptState::Prefilling);
    CHECK(longAttempt->remainingPrefillTokens < 100'000);
    // Weights 8:1 give the short prompt 8/9 of 20,000 tokens/s: 0.1125 s, then 3 more tokens at 50/s.
    CHECK(shortEnd - TimePoint{} <= std::chrono::milliseconds(250));
}

// Guards against a second prefill of a cached prefix.
TEST(EngineModelTest, RepeatedPromptIsCached)
{
    EngineModel model(warmOptions(), TimePoint{});
    AttemptPointer first;
    AttemptPointer second;
    model.submit(makeRequest("a1", 10'000), TimePoint{}, first);
    const TimePoint end = advanceUntilFinished(model, first, TimePoint{});
    model.submit(makeRequest("a2", 10'000), end, second);
    LONGS_EQUAL(10'000 / blockTokens * blockTokens, second->cachedTokens);
}

// Guards against unbounded generation ahead of a slow reader, and against a resume that skips or repeats tokens.
TEST(EngineModelTest, SlowReaderPausesGenerationAndResumes)
{
    EngineOptions options = warmOptions();
    options.sendWindow = 8;
    EngineModel model(options, TimePoint{});
    EngineRequest request = makeRequest("a", 10);
    request.maxTokens = 100;
    AttemptPointer attempt;
    model.submit(request, TimePoint{}, attempt);
    model.advance(TimePoint{} + std::chrono::seconds(1));
    model.advance(TimePoint{} + std::chrono::seconds(20));
    model.advance(TimePoint{} + std::chrono::seconds(21));
    LONGS_EQUAL(8, attempt->produced);
    CHECK(model.resume("a", 9) == nullptr);
    CHECK(model.resume("unknown", 0) == nullptr);
    CHECK(model.resume("a", 3) == attempt);
    LONGS_EQUAL(3, attempt->sent);
}
