#include "Placement/DataCentreTraffic.h"

#include "Placement/PlacementTable.h"
#include "PlacementFixtures.h"
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Placement;
using namespace Mangofall::Placement::Testing;

namespace {

const DataCentreId there("there");
constexpr TimePoint start = TimePoint() + milliseconds(10'000);
constexpr CrossDataCentreOptions options{100, 1};

UpstreamEntry upstreamIn(const DataCentreId &dataCentre, const std::string &id, const ServiceId &service = engines)
{
    UpstreamEntry entry = upstream(id, service);
    entry.dataCentre = dataCentre;
    return entry;
}

/// A service with 100 slots in each of two data centres, whose answers take a second.
struct Service {
    DataCentreTraffic traffic;
    TimePoint now = start;
    std::uint64_t next = 0;

    explicit Service(const CrossDataCentreOptions &crossOptions = options, Duration delay = milliseconds(5))
        : traffic(crossOptions, {{here, {{there, delay}}}})
    {
        traffic.adopted(here);
        traffic.ended(here, std::chrono::seconds(1));
    }

    // Grants of requests that arrived here; a fifth of them runs there.
    void grant(int count, std::uint64_t bytes = 10'000)
    {
        for (int index = 0; index < count; ++index) {
            PlacementRequest request = shortPrompt(++next, now);
            request.requestBytes = bytes;
            traffic.granted(request, index % 5 == 0 ? there : here);
        }
    }

    double share(const DataCentreLoad &load, const DataCentreLoad &other, int rounds = 20)
    {
        for (int round = 0; round < rounds; ++round) {
            now += milliseconds(250);
            traffic.update({{here, load}, {there, other}}, now);
        }
        return shareHere();
    }

    double shareHere() const
    {
        for (const LeavingReport &report : traffic.reports(engines, now)) {
            if (report.dataCentre == here) {
                return report.decided;
            }
        }
        return -1;
    }
};

constexpr DataCentreLoad busy{100, 100, 50, {}, true};
constexpr DataCentreLoad half{100, 50, 0, {}, true};

}

TEST_GROUP(DataCentreTrafficTest){};

// Guards against requests that queue although another data centre has room, and against more of them leaving than the own upstreams cannot take.
TEST(DataCentreTrafficTest, WhatExceedsTheDataCentreLeaves)
{
    Service service;
    service.grant(120);
    DOUBLES_EQUAL(0.25, service.share(half, half), 0.01); // Of the 120 running requests 90 should be here.
    DOUBLES_EQUAL(1 - 90.0 / 170, service.share(busy, half), 0.01);
    DOUBLES_EQUAL(1, service.share({0, 0, 10, {}, true}, half), 1e-9);
    DOUBLES_EQUAL(1, service.share({}, {}, 1), 1e-9);
}

// Guards against requests that leave for a queue as long as the own one, or at a price above the time that they save.
TEST(DataCentreTrafficTest, NothingLeavesIfThatCostsMoreThanItGains)
{
    Service toFull;
    toFull.grant(20);
    DOUBLES_EQUAL(0, toFull.share(busy, {100, 100, 60, {}, true}), 1e-9);
    Service large;
    large.grant(20, 100'000'000);
    DOUBLES_EQUAL(0, large.share(busy, half), 1e-9);
    Service far(options, milliseconds(2000));
    far.grant(20);
    DOUBLES_EQUAL(0, far.share(busy, half), 1e-9);
    Service limited({0, 0.1});
    limited.grant(20);
    DOUBLES_EQUAL(0.1, limited.share(busy, half), 1e-9);
}

// Guards against a share that swings when the waits vary around the break-even point, and against one that stays when the queue is gone.
TEST(DataCentreTrafficTest, TheShareDoesNotFollowSmallChanges)
{
    Service service;
    service.grant(20);
    const DataCentreLoad above{100, 91, 0, {}, true};
    const DataCentreLoad queue{100, 100, 30, {}, true};
    DOUBLES_EQUAL(0, service.share(above, half), 1e-9);
    const double leaving = service.share(queue, half);
    CHECK(leaving > 0.2);
    for (int round = 0; round < 10; ++round) {
        CHECK(service.share(round % 2 == 0 ? queue : DataCentreLoad{100, 100, 28, {}, true}, half, 1) > leaving - 0.05);
    }
    service.share(half, half);
    CHECK(service.share({100, 10, 0, {}, true}, half) <= 0.01);
}

// Guards against a cost in the own data centre, and against one that falls with more bytes, a longer delay or a shorter target.
TEST(DataCentreTrafficTest, TheCostFollowsBytesAndDelay)
{
    Mangofall::Testing::checkProperty("more bytes never cost less", [](std::uint32_t bytes, std::uint32_t more, std::uint8_t delayMs) {
        const DataCentreTraffic near(options, {{here, {{there, milliseconds(delayMs)}}}});
        const DataCentreTraffic far(options, {{there, {{here, milliseconds(delayMs + 1)}}}});
        PlacementRequest request = shortPrompt(1, start);
        request.requestBytes = bytes;
        const double cost = near.of(request, upstreamIn(there, "e1"));
        RC_ASSERT(near.of(request, upstreamIn(here, "e0")) == 0.0);
        RC_ASSERT(far.of(request, upstreamIn(there, "e1")) > cost);
        request.answerBytes = more;
        RC_ASSERT(near.of(request, upstreamIn(there, "e1")) >= cost);
    });
}

// Guards against small requests that open an idle engine because it is near, and against large ones that cross to fill an engine.
TEST(DataCentreTrafficTest, FillingAnEngineIsWorthALittleTraffic)
{
    CrashRecord crashes;
    PlacementTable table(PlacementLimits(), crashes);
    table.setOptions({.crossDataCentre = options});
    table.setServices({{engines, 0, engineSpec(), {{here, {{there, milliseconds(3)}}}}}});
    table.setUpstreams({upstreamIn(there, "e1")}, start);
    for (std::uint64_t number = 1; number <= 8; ++number) {
        table.submit(shortPrompt(number, start), start);
        table.firstEventReceived({HostId("entry"), number}, start);
    }
    table.setUpstreams({upstreamIn(here, "e0"), upstreamIn(there, "e1")}, start);
    const auto chosen = [&](std::uint64_t number, std::uint64_t bytes) {
        PlacementRequest request = shortPrompt(number, start);
        request.requestBytes = bytes;
        const PlacementActions actions = table.submit(request, start);
        table.ended(request.id, GrantOutcome::Cancelled, std::nullopt, start);
        return std::get<Grant>(actions.front()).assignment.upstream;
    };
    CHECK(chosen(10, 20'000) == UpstreamId("e1"));
    CHECK(chosen(11, 20'000'000) == UpstreamId("e0"));
}

// Guards against requests that go to a data centre out of service, or nowhere, because of what they cost.
TEST(DataCentreTrafficTest, OnlyAcceptingUpstreamsAreChosenWhateverTheCost)
{
    CrashRecord crashes;
    PlacementTable table(PlacementLimits(), crashes);
    table.setOptions({.crossDataCentre = CrossDataCentreOptions{1e9, 0}});
    table.setServices({{orders, 0, std::nullopt}});
    UpstreamEntry own = upstreamIn(here, "o1", orders);
    own.accepting = false;
    table.setUpstreams({own, upstreamIn(there, "o2", orders)}, start);
    for (std::uint64_t number = 1; number <= 10; ++number) {
        PlacementRequest request = orderRequest(number, start);
        request.requestBytes = 1'000'000;
        const PlacementActions actions = table.submit(request, start);
        CHECK(std::get<Grant>(actions.at(0)).assignment.upstream == UpstreamId("o2"));
        table.tick(start + milliseconds(300) * static_cast<int>(number));
    }
    CHECK(table.leavingReports(start + milliseconds(3000)).at(0).decided == 1);
}
