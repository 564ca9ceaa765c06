#include "Placement/PlacementTable.h"

#include "PlacementFixtures.h"
#include "Property.h"

#include <set>

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

struct Table {
    PlacementTable table{PlacementLimits()};
    TimePoint now;

    Table()
    {
        table.setServices({{engines, 0, engineSpec()}, {orders, 2, std::nullopt}});
        table.setUpstreams({upstream("o1", orders, 2), upstream("e1", engines), upstream("e2", engines)}, now);
    }
};

const Grant *grantOf(const PlacementActions &actions, std::uint64_t number)
{
    for (const PlacementAction &action : actions) {
        const auto *grant = std::get_if<Grant>(&action);
        if (grant != nullptr && grant->id.number == number) {
            return grant;
        }
    }
    return nullptr;
}

const Refusal *refusalOf(const PlacementActions &actions, std::uint64_t number)
{
    for (const PlacementAction &action : actions) {
        const auto *refusal = std::get_if<Refusal>(&action);
        if (refusal != nullptr && refusal->id.number == number) {
            return refusal;
        }
    }
    return nullptr;
}

}

TEST_GROUP(PlacementTableTest){};

// Guards against a request that waits although the place it waits for has become free.
TEST(PlacementTableTest, AWaitingDemandGetsThePlaceThatIsGivenBack)
{
    Table fixture;
    fixture.table.submit(orderDemand(1, fixture.now), fixture.now);
    fixture.table.submit(orderDemand(2, fixture.now), fixture.now);
    CHECK(fixture.table.submit(orderDemand(3, fixture.now), fixture.now).empty());
    fixture.now += PlacementLimits().serveInterval;
    const PlacementActions actions = fixture.table.ended({HostId("entry"), 1}, GrantOutcome::Completed, std::nullopt, fixture.now);
    CHECK(grantOf(actions, 3) != nullptr);
}

// Guards against a request that is held until its deadline although it can no longer be served.
TEST(PlacementTableTest, ADemandThatCannotBeServedInTimeIsRefused)
{
    Table fixture;
    fixture.table.submit(orderDemand(1, fixture.now), fixture.now);
    fixture.table.submit(orderDemand(2, fixture.now), fixture.now);
    fixture.table.submit(orderDemand(3, fixture.now), fixture.now);
    fixture.now += milliseconds(10'000);
    CHECK(refusalOf(fixture.table.tick(fixture.now), 3) != nullptr);
    LONGS_EQUAL(0, fixture.table.waiting());
}

// Guards against a place that stays taken after its entry host has died.
TEST(PlacementTableTest, GrantsOfALostHostEndUnlessReportedAgain)
{
    Table fixture;
    fixture.table.submit(orderDemand(1, fixture.now), fixture.now);
    fixture.table.submit(orderDemand(2, fixture.now), fixture.now);
    fixture.table.hostLost(HostId("entry"), fixture.now);
    fixture.table.adopt({orderDemand(2, fixture.now), UpstreamId("o1"), {}, false}, fixture.now);
    fixture.now += milliseconds(2000);
    fixture.table.tick(fixture.now);
    LONGS_EQUAL(1, fixture.table.granted());
}

// Guards against a new owner that gives places which the former one has given already.
TEST(PlacementTableTest, AdoptedGrantsTakeTheirPlaces)
{
    Table fixture;
    fixture.table.adopt({orderDemand(1, fixture.now), UpstreamId("o1"), {}, false}, fixture.now);
    fixture.table.adopt({orderDemand(2, fixture.now), UpstreamId("o1"), {}, false}, fixture.now);
    CHECK(fixture.table.submit(orderDemand(3, fixture.now), fixture.now).empty());
}

// Guards against a new owner that places on engines before it knows what the former owner has placed there.
TEST(PlacementTableTest, NothingIsGrantedWhileAServiceIsHeld)
{
    Table fixture;
    fixture.table.pauseGrantsUntil(orders, fixture.now + milliseconds(80));
    CHECK(fixture.table.submit(orderDemand(1, fixture.now), fixture.now).empty());
    fixture.table.adopt({orderDemand(2, fixture.now), UpstreamId("o1"), {}, false}, fixture.now);
    fixture.table.adopt({orderDemand(3, fixture.now), UpstreamId("o1"), {}, false}, fixture.now);
    fixture.now += milliseconds(80);
    CHECK(fixture.table.tick(fixture.now).empty());
    LONGS_EQUAL(1, fixture.table.waiting());
}

// Guards against a long prompt in progress that a new owner takes for nothing to read.
TEST(PlacementTableTest, AnAdoptedReadCountsAtItsUpstreamAndItsHelpers)
{
    Table fixture;
    fixture.table.adopt({longPrompt(1, fixture.now), UpstreamId("e1"), {UpstreamId("e2")}, true}, fixture.now);
    CHECK(fixture.table.load(UpstreamId("e1"))->readBacklog(fixture.now, Duration::zero()) > milliseconds(1000));
    LONGS_EQUAL(1, fixture.table.load(UpstreamId("e2"))->helping());
}

// Guards against placing on an upstream that leaves or whose data centre is out of service.
TEST(PlacementTableTest, AnUpstreamThatDoesNotAcceptGetsNothing)
{
    Table fixture;
    UpstreamEntry leaving = upstream("o1", orders, 2);
    leaving.accepting = false;
    fixture.table.setUpstreams({leaving}, fixture.now);
    CHECK(fixture.table.submit(orderDemand(1, fixture.now), fixture.now).empty());
}

// Guards against a request that waits for ever for a service without any upstream.
TEST(PlacementTableTest, WithoutAnUpstreamTheDemandIsRefusedSoon)
{
    Table fixture;
    fixture.table.setUpstreams({}, fixture.now);
    CHECK(fixture.table.submit(orderDemand(1, fixture.now), fixture.now).empty());
    fixture.now += milliseconds(1600);
    CHECK(refusalOf(fixture.table.tick(fixture.now), 1) != nullptr);
}

// Guards against an upstream that is started again under its id and is taken to hold the work of its former start.
TEST(PlacementTableTest, AnotherStartOfAnUpstreamIsEmpty)
{
    Table fixture;
    fixture.table.submit(orderDemand(1, fixture.now), fixture.now);
    fixture.table.submit(orderDemand(2, fixture.now), fixture.now);
    UpstreamEntry restarted = upstream("o1", orders, 2);
    restarted.startedAt = 5;
    fixture.table.setUpstreams({restarted}, fixture.now);
    CHECK(grantOf(fixture.table.submit(orderDemand(3, fixture.now), fixture.now), 3) != nullptr);
}

// Guards against more requests at a cold upstream than its limit.
TEST(PlacementTableTest, AColdUpstreamGetsItsRateOnly)
{
    Table fixture;
    UpstreamEntry cold = upstream("o1", orders, 100);
    cold.coldUntil = fixture.now + milliseconds(5000);
    fixture.table.setUpstreams({}, fixture.now);
    fixture.table.setUpstreams({cold}, fixture.now);
    int granted = 0;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        granted += grantOf(fixture.table.submit(orderDemand(number, fixture.now), fixture.now), number) != nullptr ? 1 : 0;
    }
    LONGS_EQUAL(2, granted);
}

// Guards against grants that are lost or given twice in any order of arrivals, ends, losses and waits.
TEST(PlacementTableTest, EveryDemandIsAnsweredOnceAndSlotsAreKept)
{
    Mangofall::Testing::checkProperty("each demand gets one answer", [](const std::vector<std::uint8_t> &steps) {
        Table fixture;
        std::set<std::uint64_t> answered;
        std::set<std::uint64_t> running;
        std::uint64_t number = 0;
        const auto take = [&](const PlacementActions &actions) {
            for (const PlacementAction &action : actions) {
                const auto *grant = std::get_if<Grant>(&action);
                const std::uint64_t id = grant != nullptr ? grant->id.number : std::get<Refusal>(action).id.number;
                RC_ASSERT(answered.insert(id).second);
                if (grant != nullptr) {
                    running.insert(id);
                }
            }
            RC_ASSERT(fixture.table.load(UpstreamId("o1"))->requests() <= 2U);
        };
        for (const std::uint8_t step : steps) {
            fixture.now += milliseconds(step * 10);
            if (step % 3 == 0 && !running.empty()) {
                const std::uint64_t ended = *running.begin();
                running.erase(ended);
                take(fixture.table.ended({HostId("entry"), ended}, GrantOutcome::Completed, std::nullopt, fixture.now));
            } else if (step % 3 == 1) {
                take(fixture.table.tick(fixture.now));
            } else {
                take(fixture.table.submit(orderDemand(++number, fixture.now), fixture.now));
            }
        }
        fixture.now += milliseconds(60'000);
        take(fixture.table.tick(fixture.now));
        RC_ASSERT(answered.size() == number);
    });
}

// Guards against requests that are held back because they met upstreams that were down before: what broke there is no sign of a harmful request.
TEST(PlacementTableTest, BreaksOfAnUpstreamThatIsDownAreNoSignAgainstTheRequest)
{
    Table fixture;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        PlacementRequest repeated = orderDemand(number, fixture.now);
        repeated.fingerprint = 77;
        const PlacementActions actions = fixture.table.submit(repeated, fixture.now);
        CHECK(refusalOf(actions, number) == nullptr);
        fixture.now += milliseconds(20);
        fixture.table.ended(repeated.id, GrantOutcome::Broken, std::nullopt, fixture.now);
        fixture.now += milliseconds(20);
    }
}

// Guards against a harmful request among many that is not counted, because another one at the same upstream was reported first.
TEST(PlacementTableTest, AllRequestsThatRanAtABreakCount)
{
    Table fixture;
    std::uint64_t number = 0;
    for (int breaks = 0; breaks < 3; ++breaks) {
        PlacementRequest innocent = orderDemand(++number, fixture.now);
        innocent.fingerprint = number + 1000;
        PlacementRequest harmful = orderDemand(++number, fixture.now);
        harmful.fingerprint = 77;
        fixture.table.submit(innocent, fixture.now);
        fixture.table.submit(harmful, fixture.now);
        fixture.now += milliseconds(20);
        fixture.table.ended(innocent.id, GrantOutcome::Broken, std::nullopt, fixture.now);
        fixture.table.ended(harmful.id, GrantOutcome::Broken, std::nullopt, fixture.now);
        fixture.now += milliseconds(3500);
    }
    PlacementRequest again = orderDemand(++number, fixture.now);
    again.fingerprint = 77;
    fixture.now -= milliseconds(3000);
    const PlacementActions actions = fixture.table.submit(again, fixture.now);
    CHECK(refusalOf(actions, number) != nullptr);
}

// Guards against a prompt beyond one engine's memory that takes most engines while short ones wait: trouble-1, where one of 547,104 tokens came first
// after all hosts had started again, and 4.5% of the requests were refused.
TEST(PlacementTableTest, APromptThatNeedsCalmLetsOthersGoFirst)
{
    Table fixture;
    std::vector<UpstreamEntry> entries;
    entries.reserve(18);
    for (int index = 0; index < 18; ++index) {
        entries.push_back(upstream("e" + std::to_string(index), engines));
    }
    fixture.table.setUpstreams(entries, fixture.now);
    fixture.table.pauseGrantsUntil(engines, fixture.now + milliseconds(80));
    const PlacementRequest huge = placementRequest(1, 547'104, milliseconds(3000), milliseconds(1000), fixture.now);
    CHECK(fixture.table.submit(huge, fixture.now).empty());
    fixture.now += milliseconds(100);
    CHECK(grantOf(fixture.table.tick(fixture.now), 1) == nullptr);
    fixture.now += milliseconds(1300);
    CHECK(grantOf(fixture.table.tick(fixture.now), 1) != nullptr);
}

// Guards against short requests that are refused because of the work of long ones that cannot be placed yet and do not delay them.
TEST(PlacementTableTest, LongDemandsThatWaitDoNotMakeShortOnesUnreachable)
{
    Table fixture;
    std::uint64_t number = 0;
    for (int arrived = 0; arrived < 12; ++arrived) {
        fixture.table.submit(placementRequest(++number, 250'000, milliseconds(3000), milliseconds(1000), fixture.now), fixture.now);
    }
    fixture.now += milliseconds(50);
    for (int arrived = 0; arrived < 30; ++arrived) {
        const PlacementRequest shortOne = placementRequest(++number, 5'000, milliseconds(10), milliseconds(250), fixture.now);
        fixture.table.submit(shortOne, fixture.now);
    }
    fixture.now += milliseconds(50);
    for (const PlacementAction &action : fixture.table.tick(fixture.now)) {
        const auto *refusal = std::get_if<Refusal>(&action);
        CHECK(refusal == nullptr || refusal->id.number <= 12);
    }
}

// Guards against requests that are held until their deadline although the work before them takes far longer: the day at four times the usual load.
TEST(PlacementTableTest, DemandsThatCannotGetAPlaceInTimeAreRefusedAtOnce)
{
    Table fixture;
    std::uint64_t number = 0;
    const auto submitLong = [&]() {
        const PlacementRequest wanted = placementRequest(++number, 250'000, milliseconds(3000), milliseconds(1000), fixture.now);
        return fixture.table.submit(wanted, fixture.now);
    };
    // Two engines read one of these prompts in four seconds together; forty of them arrive.
    for (int arrived = 0; arrived < 40; ++arrived) {
        submitLong();
    }
    fixture.now += milliseconds(50);
    std::set<std::uint64_t> refused;
    std::set<Duration> waits;
    for (const PlacementAction &action : fixture.table.tick(fixture.now)) {
        if (const auto *refusal = std::get_if<Refusal>(&action)) {
            refused.insert(refusal->id.number);
            waits.insert(refusal->retryAfter);
            CHECK(refusal->kind == ErrorKind::DeadlineUnreachable);
        }
    }
    // Ten seconds hold the work of five of them at most.
    CHECK(refused.size() >= 34);
    CHECK(fixture.table.waiting() >= 1);
    // They come back at different times.
    CHECK(waits.size() >= refused.size() / 2);
}
