#include "Engines/LongPromptPlanner.h"

#include <numeric>
#include <set>

// Property.h comes last: CppUTest defines new as a macro, and the headers above use new.
#include "Property.h"

using namespace Mangofall;

namespace {

std::vector<EngineMemory> arbitraryEngines()
{
    std::vector<EngineMemory> engines;
    // The size is fixed, because RapidCheck's growing sizes start with engines that are too small for any prompt.
    const int count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 12));
    for (int i = 0; i < count; ++i) {
        const auto memory = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, 100));
        const auto free = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, memory + 1));
        engines.push_back({UpstreamId(std::to_string(i)), DataCentreId(std::to_string(i % 2)), memory, free});
    }
    return engines;
}

// Whether the engines of one data centre together hold the prompt and the output, and one of them holds the output and at least one prompt token.
bool fits(std::uint64_t prompt, std::uint64_t output, const std::vector<EngineMemory> &engines, std::uint64_t EngineMemory::*memoryField)
{
    for (const char *dataCentre : {"0", "1"}) {
        std::uint64_t sum = 0;
        std::uint64_t largest = 0;
        for (const EngineMemory &engine : engines) {
            if (engine.dataCentre.value() == dataCentre) {
                sum += engine.*memoryField;
                largest = std::max(largest, engine.*memoryField);
            }
        }
        if (largest > output && sum >= prompt + output) {
            return true;
        }
    }
    return false;
}

}

TEST_GROUP(LongPromptsPlannerTest){};

// Guards against a gap or overlap between segments, a segment above its engine's memory, and the refusal of a prompt that fits.
TEST(LongPromptsPlannerTest, PlansCoverThePromptWithinFreeMemory)
{
    Testing::checkProperty("plans are exact", [] {
        const std::vector<EngineMemory> engines = arbitraryEngines();
        const auto prompt = *rc::gen::inRange<std::uint64_t>(1, 200);
        const auto output = *rc::gen::inRange<std::uint64_t>(0, 40);
        const LongPromptPlanResult result = LongPromptPlanner::plan(prompt, output, engines);
        const bool fitsNow = fits(prompt, output, engines, &EngineMemory::freeTokens);
        RC_CLASSIFY(fitsNow, "fits now");
        if (const auto *error = std::get_if<ErrorKind>(&result)) {
            RC_ASSERT(!fitsNow);
            RC_ASSERT((*error == ErrorKind::NoUpstream) == fits(prompt, output, engines, &EngineMemory::memoryTokens));
            return;
        }
        const auto &plan = std::get<LongPromptPlan>(result);
        RC_ASSERT(fitsNow);
        std::uint64_t next = 0;
        std::set<std::string> used;
        for (const PromptSegment &segment : plan.segments) {
            RC_ASSERT(segment.firstToken == next);
            RC_ASSERT(segment.promptTokens > 0U);
            next += segment.promptTokens;
            const EngineMemory &engine = engines[std::stoul(segment.upstream.value())];
            RC_ASSERT(engine.dataCentre == plan.dataCentre);
            RC_ASSERT(segment.memoryTokens() <= engine.freeTokens);
            RC_ASSERT(used.insert(segment.upstream.value()).second);
            RC_ASSERT(segment.outputTokens == (&segment == &plan.segments.back() ? output : 0U));
        }
        RC_ASSERT(next == prompt);
    });
}
