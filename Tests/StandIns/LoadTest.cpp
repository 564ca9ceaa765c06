// CppUTest redefines new, which breaks the pcg header; headers that include pcg must come before it.
#include "Base/RandomEngine.h"
#include "Load/LoadPlan.h"
#include "Load/LoadReport.h"
#include "Load/StreamCheck.h"

#include "Property.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Load;

namespace {

constexpr std::uint32_t allTokens = 12;

std::string tokenEvent(std::uint32_t index)
{
    return R"(data: {"choices":[{"text":"tok)" + std::to_string(index) + R"(.7 "}],"index":)" + std::to_string(index) + "}\n\n";
}

std::vector<std::string> wholeStream()
{
    std::vector<std::string> events;
    for (std::uint32_t index = 0; index < allTokens; ++index) {
        events.push_back(tokenEvent(index));
    }
    events.emplace_back("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3}}\n\n");
    events.emplace_back("data: [DONE]\n\n");
    return events;
}

bool isWhole(const std::vector<std::string> &events, std::size_t fragmentSize)
{
    std::string text;
    for (const std::string &event : events) {
        text += event;
    }
    StreamCheck check;
    for (std::size_t offset = 0; offset < text.size(); offset += fragmentSize) {
        check.take(std::string_view(text).substr(offset, fragmentSize));
    }
    return check.whole(allTokens);
}

}

TEST_GROUP(LoadTest){};

// Guards against a stream check that accepts missing, repeated or reordered events, or that depends on how the bytes are split.
TEST(LoadTest, OnlyAnUndamagedStreamIsWhole)
{
    Testing::checkProperty("a damaged stream is detected", [] {
        const std::vector<std::string> intact = wholeStream();
        const auto position = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(intact.size())));
        const auto otherPosition = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(intact.size())));
        const auto fragmentSize = static_cast<std::size_t>(*rc::gen::inRange(1, 200));
        RC_ASSERT(isWhole(intact, fragmentSize));
        auto damaged = intact;
        damaged.erase(damaged.begin() + static_cast<std::ptrdiff_t>(position));
        RC_ASSERT(!isWhole(damaged, fragmentSize));
        damaged = intact;
        std::swap(damaged[position], damaged[otherPosition]);
        RC_ASSERT(position == otherPosition || !isWhole(damaged, fragmentSize));
        damaged = intact;
        damaged.insert(damaged.begin() + static_cast<std::ptrdiff_t>(position), damaged[position]);
        // A repeated usage event is no damage.
        RC_ASSERT(position == allTokens || !isWhole(damaged, fragmentSize));
    });
}

// Guards against plans that differ between runs, and against a mix that misses the requested rate or share of long prompts.
TEST(LoadTest, PlanFollowsTheOptions)
{
    LoadOptions options;
    options.targets = {"127.0.0.1:1", "127.0.0.1:2"};
    options.requests = 20'000;
    options.duration = std::chrono::hours(10);
    const auto plan = makePlan(options);
    LONGS_EQUAL(options.requests, plan.size());
    const auto isLong = [&](const PlannedRequest &request) {
        return request.promptTokens > options.longTokens;
    };
    DOUBLES_EQUAL(options.longShare, static_cast<double>(std::count_if(plan.begin(), plan.end(), isLong)) / 20'000, 0.005);
    DOUBLES_EQUAL(20'000 / options.rate, Seconds(plan.back().at).count(), 60);
    CHECK(makePlan(options).back().at == plan.back().at);
    CHECK(makePrompt(options, plan[0]) != makePrompt(options, plan[1]));
    LONGS_EQUAL(plan[0].promptTokens * 4, makePrompt(options, plan[0]).size());
}

// Guards against percentiles off by one rank.
TEST(LoadTest, PercentileIsNearestRank)
{
    std::vector<double> values(100);
    for (std::size_t index = 0; index < values.size(); ++index) {
        values[index] = static_cast<double>(index + 1);
    }
    DOUBLES_EQUAL(95, percentile(values, 0.95), 0);
    DOUBLES_EQUAL(50, percentile(values, 0.5), 0);
    DOUBLES_EQUAL(100, percentile(values, 1), 0);
    DOUBLES_EQUAL(0, percentile({}, 0.5), 0);
}
