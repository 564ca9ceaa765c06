#include "Placement/Lateness.h"

#include "PlacementFixtures.h"
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Placement;
using std::chrono::milliseconds;

TEST_GROUP(LatenessTest){};

// Guards against an upstream that loses its requests for a single late answer, for example of an entry host that had stopped for a moment.
TEST(LatenessTest, OnlyRepeatedLatenessCounts)
{
    Lateness lateness;
    const TimePoint now;
    lateness.record(milliseconds(100), milliseconds(60'000), now);
    DOUBLES_EQUAL(1, lateness.factor(now), 1e-9);
    for (int answer = 0; answer < 100; ++answer) {
        lateness.record(milliseconds(100), milliseconds(60'000), now);
    }
    CHECK(lateness.factor(now) > 5);
    CHECK(lateness.factor(now) <= 8);
}

// Guards against an upstream that stays without requests after it has recovered.
TEST(LatenessTest, TimelyAnswersAndTimeRestoreTheUpstream)
{
    Lateness lateness;
    TimePoint now;
    for (int answer = 0; answer < 20; ++answer) {
        lateness.record(milliseconds(100), milliseconds(1'300), now);
    }
    Lateness unused = lateness;
    for (int answer = 0; answer < 8; ++answer) {
        lateness.record(milliseconds(100), milliseconds(90), now);
    }
    DOUBLES_EQUAL(1, lateness.factor(now), 1e-9);
    CHECK(unused.factor(now) > 3);
    DOUBLES_EQUAL(1, unused.factor(now + std::chrono::seconds(10)), 1e-9);
}

// Guards against requests that no upstream gets, because all of them are later than the estimates.
TEST(LatenessTest, WhatIsCommonToMostUpstreamsIsNotTheirFault)
{
    DOUBLES_EQUAL(1, relativeFactor(4, {4, 4, 4, 5}), 1e-9);
    DOUBLES_EQUAL(4, relativeFactor(4, {1, 4}), 1e-9);
    DOUBLES_EQUAL(2, relativeFactor(4, {2, 2, 2, 2, 4}), 1e-9);
}
