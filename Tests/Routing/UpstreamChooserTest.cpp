// Must precede the CppUTest headers: they redefine new, and pcg uses placement new.
#include "Routing/UpstreamChooser.h"

#include "Property.h"

#include "Routing/FirstTokenEstimator.h"
#include "Routing/LongShareAllocator.h"
#include "Routing/UpstreamViewTable.h"

#include <algorithm>
#include <vector>

using namespace Mangofall;

namespace {

UpstreamView warmView(const std::string &id)
{
    UpstreamView view;
    view.id = UpstreamId(id);
    view.state = UpstreamState::Warm;
    view.requestCap = 32;
    view.prefillCap = 1'000'000;
    view.prefillRate = 10'000;
    return view;
}

RequestProfile shortRequest()
{
    RequestProfile request;
    request.promptTokens = 5'000;
    return request;
}

}

TEST_GROUP(UpstreamChooserTest){};

// Guards against requests to an upstream that is out of service, leaving or suspect, and against a refusal while an upstream accepts requests.
TEST(UpstreamChooserTest, ChoosesExactlyAmongUpstreamsThatAcceptWork)
{
    Testing::checkProperty("all policies choose only upstreams that accept requests", [] {
        Preset preset;
        preset.routing = *rc::gen::element(RoutingPolicy::RoundRobin, RoutingPolicy::LeastInFlight, RoutingPolicy::EstimatedFirstToken);
        preset.choices = *rc::gen::inRange(0U, 6U);
        FirstTokenEstimator estimator;
        const auto chooser = makeUpstreamChooser(preset, estimator);
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<UpstreamView> views;
        const int count = *rc::gen::inRange(0, 8);
        bool anyAccepts = false;
        for (int number = 0; number < count; ++number) {
            views.push_back(warmView(std::to_string(number)));
            views.back().state = static_cast<UpstreamState>(*rc::gen::inRange(0, 7));
            views.back().inFlightPrefillTokens[indexOf(LengthClass::Long)] = *rc::gen::inRange<std::uint64_t>(0, 2);
            views.back().designatedForLong = *rc::gen::arbitrary<bool>();
            anyAccepts = anyAccepts || acceptsWork(views.back().state);
        }
        RequestProfile request = shortRequest();
        request.lengthClass = static_cast<LengthClass>(*rc::gen::inRange(0, 3));
        const auto chosen = chooser->choose(request, views, random);
        RC_ASSERT(chosen.has_value() == anyAccepts);
        if (chosen) {
            RC_ASSERT(acceptsWork(views[static_cast<std::size_t>(std::stoi(chosen->value()))].state));
        }
    });
}

// Guards against choosing the upstream with the cached prefix although the wait there exceeds the time that the cache hit saves, and against ignoring the
// cache.
TEST(UpstreamChooserTest, AffinityYieldsToTheWait)
{
    FirstTokenEstimator estimator;
    const auto chooser = makeUpstreamChooser(Preset{}, estimator);
    RandomEngine random(1);
    std::vector<UpstreamView> views = {warmView("cached"), warmView("a"), warmView("b"), warmView("c"), warmView("d"), warmView("e"), warmView("f")};
    views[0].cachedTokens = 4'000;
    views[0].inFlightPrefillTokens[0] = 3'900;
    // Repeated because the random candidates include the upstream with the cached prefix only sometimes, and it must always be considered.
    for (int count = 0; count < 50; ++count) {
        CHECK(chooser->choose(shortRequest(), views, random) == UpstreamId("cached"));
    }
    views[0].inFlightPrefillTokens[0] = 4'100;
    for (int count = 0; count < 50; ++count) {
        CHECK(chooser->choose(shortRequest(), views, random) != UpstreamId("cached"));
    }
}

// Guards against short prompts that queue behind long ones, and against upstreams designated for long prompts that stay idle while short prompts wait.
TEST(UpstreamChooserTest, SeparatesClassesAndUsesIdleLongUpstreamsForShortPrompts)
{
    FirstTokenEstimator estimator;
    const auto chooser = makeUpstreamChooser(Preset{}, estimator);
    RandomEngine random(1);
    std::vector<UpstreamView> views = {warmView("long"), warmView("short")};
    views[1].designatedForLong = false;
    views[1].inFlightPrefillTokens[0] = 50'000;
    CHECK(chooser->choose(shortRequest(), views, random) == UpstreamId("long"));
    views[0].inFlightPrefillTokens[indexOf(LengthClass::Long)] = 200'000;
    CHECK(chooser->choose(shortRequest(), views, random) == UpstreamId("short"));
    RequestProfile longRequest = shortRequest();
    longRequest.promptTokens = 300'000;
    longRequest.lengthClass = LengthClass::Long;
    CHECK(chooser->choose(longRequest, views, random) == UpstreamId("long"));
    // 1,200,000 tokens of work at the upstream for long prompts against 300,000 at the other: more than three times the estimate.
    views[0].inFlightPrefillTokens[indexOf(LengthClass::Long)] = 900'000;
    views[1].inFlightPrefillTokens[0] = 0;
    CHECK(chooser->choose(longRequest, views, random) == UpstreamId("short"));
    views[0].inFlightPrefillTokens[indexOf(LengthClass::Long)] = 200'000;
    views[0].prefillCap = 20'000;
    CHECK(chooser->choose(longRequest, views, random) == UpstreamId("short"));
}

// Guards against sending all requests between two load summaries to one upstream.
TEST(UpstreamChooserTest, OwnDispatchesCountUntilTheNextSummary)
{
    UpstreamViewTable table;
    table.update(warmView("b"));
    table.update(warmView("a"));
    table.noteDispatch(UpstreamId("b"), LengthClass::Medium, 700);
    LONGS_EQUAL(700, table.views()[1].totalPrefillTokens());
    LONGS_EQUAL(1, table.views()[1].queuedRequests);
    table.update(warmView("b"));
    LONGS_EQUAL(0, table.views()[1].totalPrefillTokens());
    table.remove(UpstreamId("a"));
    LONGS_EQUAL(1, table.views().size());
}
