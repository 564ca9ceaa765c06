#include "Placement/EngineSelector.h"

#include "Placement/EngineCost.h"
#include "Placement/UpstreamLoad.h"
#include "PlacementFixtures.h"
#include "Property.h"

#include <list>
#include <string>

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

struct Fleet {
    std::list<UpstreamLoad> loads;
    UpstreamSelector::Candidates candidates;

    explicit Fleet(int size)
    {
        for (int index = 0; index < size; ++index) {
            loads.emplace_back(upstream("e" + std::to_string(index), engines), 0);
            candidates.push_back(&loads.back());
        }
    }

    void grant(const Selection &selection, const PlacementRequest &placementRequest, TimePoint now)
    {
        GrantLoad grantLoad{false,
                            true,
                            placementRequest.promptTokens,
                            placementRequest.promptTokens + placementRequest.outputTokens,
                            placementRequest.pauseLimit,
                            selection.partPrefillTime,
                            {}};
        selection.primary->add(placementRequest.id, grantLoad, now);
        grantLoad.helper = true;
        for (UpstreamLoad *helper : selection.helpers) {
            helper->add(placementRequest.id, grantLoad, now);
        }
    }
};

}

TEST_GROUP(EngineSelectorTest){};

// Guards against cost figures in a wrong unit, because they decide every placement.
TEST(EngineSelectorTest, PrefillAndIterationTimesFollowTheSpec)
{
    const auto ms = [](Duration duration) {
        return Seconds(duration).count() * 1000;
    };
    DOUBLES_EQUAL(34.5, ms(prefillTime(engineSpec(), 5'000, 1)), 1);
    DOUBLES_EQUAL(3865, ms(prefillTime(engineSpec(), 182'000, 1)), 10);
    DOUBLES_EQUAL(3865.0 / 6, ms(prefillTime(engineSpec(), 182'000, 6)), 2);
    DOUBLES_EQUAL(45, ms(iterationTime(engineSpec(), 1, 5'000)), 1);
}

// Guards against the prefill of a long prompt on an engine that decodes short answers, which would pause them for half a second or more.
TEST(EngineSelectorTest, ALongPromptAvoidsEnginesThatDecodeShortAnswers)
{
    const TimePoint now;
    Fleet fleet(6);
    const EngineSelector selector(engineSpec());
    const auto first = selector.select(shortPrompt(1, now), fleet.candidates, now);
    CHECK(first.has_value());
    fleet.grant(*first, shortPrompt(1, now), now);
    const auto second = selector.select(longPrompt(2, now), fleet.candidates, now);
    CHECK(second.has_value());
    CHECK(second->primary != first->primary);
    for (const UpstreamLoad *helper : second->helpers) {
        CHECK(helper != first->primary);
    }
}

// Guards against leaving a long prompt to one engine, which cannot prefill it in time, although several engines can.
TEST(EngineSelectorTest, ALongPromptIsPrefilledByAsManyEnginesAsItsTargetNeeds)
{
    const TimePoint now;
    Fleet fleet(18);
    const EngineSelector selector(engineSpec());
    const auto selection = selector.select(longPrompt(1, now), fleet.candidates, now);
    CHECK(selection.has_value());
    CHECK(!selection->helpers.empty());
    CHECK(selection->firstEventEstimate < milliseconds(3000));
}

// Guards against short prompts that spread over all engines and leave none free for long prompts.
TEST(EngineSelectorTest, ShortPromptsFillOneEngineBeforeTheyUseAnother)
{
    TimePoint now;
    Fleet fleet(18);
    const EngineSelector selector(engineSpec());
    for (std::uint64_t number = 1; number <= 10; ++number) {
        const PlacementRequest placementRequest = shortPrompt(number, now);
        const auto selection = selector.select(placementRequest, fleet.candidates, now);
        CHECK(selection.has_value());
        fleet.grant(*selection, placementRequest, now);
        selection->primary->prefillDone(placementRequest.id, now);
        now += milliseconds(200);
    }
    int used = 0;
    for (const UpstreamLoad &load : fleet.loads) {
        used += load.idle() ? 0 : 1;
    }
    LONGS_EQUAL(1, used);
}

// Guards against engines that a burst of short prompts took into use and that later single prompts keep in use, so that they never become free for long
// prompts. A busy engine in another data centre that has a prefill to do must be preferred to a nearly idle engine here.
TEST(EngineSelectorTest, AnEngineTakenIntoUseByABurstBecomesIdleAfterIt)
{
    const TimePoint now;
    Fleet fleet(2);
    UpstreamLoad &busy = fleet.loads.front();
    UpstreamLoad &opened = fleet.loads.back();
    UpstreamEntry entry = busy.entry();
    entry.dataCentre = DataCentreId("there");
    busy.setEntry(entry);
    std::uint64_t number = 0;
    const auto addDecodingRequest = [&](UpstreamLoad &load) {
        const PlacementRequest decoding = shortPrompt(++number, now);
        load.add(decoding.id, {false, false, decoding.promptTokens, decoding.promptTokens, decoding.pauseLimit, {}, {}}, now);
    };
    for (int index = 0; index < 9; ++index) {
        addDecodingRequest(busy);
    }
    addDecodingRequest(opened);
    const PlacementRequest prefilling = shortPrompt(++number, now);
    busy.add(prefilling.id, {false, true, prefilling.promptTokens, prefilling.promptTokens, prefilling.pauseLimit, milliseconds(34), {}}, now);
    const auto selection = EngineSelector(engineSpec()).select(shortPrompt(++number, now), fleet.candidates, now);
    CHECK(selection.has_value());
    CHECK(selection->primary == &busy);
}

// Guards against any mix of requests with which a choice breaks the pause limit of a request in decode or exceeds the slots or the memory of an engine.
TEST(EngineSelectorTest, NoChoiceBreaksALimit)
{
    Mangofall::Testing::checkProperty("choices keep slots, memory and pause limits", [](const std::vector<std::uint8_t> &kinds) {
        Fleet fleet(5);
        const EngineSpec spec = engineSpec();
        const EngineSelector selector(spec);
        TimePoint now;
        std::uint64_t number = 0;
        for (const std::uint8_t kind : kinds) {
            ++number;
            now += milliseconds(kind);
            const std::uint64_t tokens = kind % 3 == 0 ? 5'000 : kind % 3 == 1 ? 45'000 : 182'000;
            const milliseconds pause(kind % 3 == 0 ? 250 : kind % 3 == 1 ? 600 : 1000);
            const PlacementRequest wanted = placementRequest(number, tokens, milliseconds(kind % 3 == 0 ? 300 : 3000), pause, now);
            const auto selection = selector.select(wanted, fleet.candidates, now);
            if (!selection) {
                continue;
            }
            fleet.grant(*selection, wanted, now);
            for (const UpstreamLoad &load : fleet.loads) {
                RC_ASSERT(load.requests() <= spec.slots);
                RC_ASSERT(load.memoryTokens() <= spec.memoryTokens);
            }
            std::vector<UpstreamLoad *> prefilling = selection->helpers;
            prefilling.push_back(selection->primary);
            for (const UpstreamLoad *load : prefilling) {
                if (load->requests() > 1) {
                    const Duration prefill = longestPrefillInIteration(spec, load->prefillBacklog(now, Duration::zero()), load->largestPrefillPrompt());
                    RC_ASSERT(iterationTime(spec, load->requests(), load->contextTokens()) + prefill <= load->shortestPauseLimit() * 2);
                }
            }
        }
    });
}
