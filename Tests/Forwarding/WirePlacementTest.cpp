#include "Forwarding/WirePlacement.h"
#include "Forwarding/GrantAge.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;

namespace {

Placement::PlacementRequest placementRequest(TimePoint now)
{
    Placement::PlacementRequest result;
    result.id = {HostId("h"), 7};
    result.service = ServiceId("s");
    result.dataCentre = DataCentreId("dc");
    result.promptTokens = 5000;
    result.outputTokens = 100;
    result.target = milliseconds(300);
    result.pauseLimit = milliseconds(250);
    result.arrivedAt = now - milliseconds(10);
    result.deadline = now + milliseconds(5000);
    result.priority = 2;
    result.fingerprint = 99;
    result.excluded = {UpstreamId("u1")};
    result.firstAttempt = true;
    result.borrowsRetry = true;
    result.sharedParts = {5, 3};
    result.requestBytes = 20'000;
    result.answerBytes = 800;
    return result;
}

}

TEST_GROUP(WirePlacementTest){};

// Guards against a placement request that loses one of its limits on the way, or times that are wrong because the clocks of the hosts differ.
TEST(WirePlacementTest, TimesArriveRelativeToTheClockOfTheReceiver)
{
    const TimePoint sender = TimePoint() + milliseconds(1'000'000);
    const TimePoint receiver = TimePoint() + milliseconds(5000);
    const Placement::PlacementRequest received = fromWire(toWire(placementRequest(sender), sender), HostId("h"), receiver);
    CHECK(received.id == placementRequest(sender).id);
    CHECK(received.arrivedAt == receiver - milliseconds(10));
    CHECK(received.deadline == receiver + milliseconds(5000));
    CHECK(received.target == milliseconds(300));
    CHECK(received.pauseLimit == milliseconds(250));
    CHECK(received.excluded.contains(UpstreamId("u1")));
    LONGS_EQUAL(99, received.fingerprint);
    CHECK(received.firstAttempt);
    CHECK(received.borrowsRetry);
    LONGS_EQUAL(20'000, received.requestBytes);
    LONGS_EQUAL(800, received.answerBytes);
    CHECK(received.sharedParts == placementRequest(sender).sharedParts);
}

// Guards against a grant that is taken for a recent one, or for an old one because the request waited at the owner. A host of an earlier version says nothing.
TEST(WirePlacementTest, TheAgeOfAGrantIsKnownWithoutACommonClock)
{
    Wire::PlacementCallT call;
    setSendTime(call, milliseconds(500'000));
    Wire::PlacementAnswerT answer;
    setCall(answer, {call.sent_us, milliseconds(9000)}, true, milliseconds(12'000));
    CHECK(grantAge(answer, milliseconds(503'250)) == milliseconds(250));
    CHECK(answer.cold);
    Wire::PlacementAnswerT ofEarlierVersion;
    setCall(ofEarlierVersion, {}, true, milliseconds(12'000));
    CHECK_FALSE(grantAge(ofEarlierVersion, milliseconds(503'250)).has_value());
    CHECK_FALSE(ofEarlierVersion.cold);
}

// Guards against helpers that are paired with each other's addresses.
TEST(WirePlacementTest, AGrantKeepsItsHelpersInOrder)
{
    Placement::Grant grant;
    grant.id = {HostId("h"), 7};
    grant.assignment.upstream = UpstreamId("u0");
    grant.assignment.address = {"10.0.0.1", 80};
    grant.assignment.helpers = {UpstreamId("u1"), UpstreamId("u2")};
    grant.assignment.helperAddresses = {{"10.0.0.2", 81}, {"10.0.0.3", 82}};
    const Placement::Assignment assignment = assignmentFromWire(toWire(grant));
    CHECK(assignment.helpers == grant.assignment.helpers);
    CHECK(assignment.helperAddresses == grant.assignment.helperAddresses);
    CHECK(assignment.address == grant.assignment.address);
}

// Guards against an unknown error kind from a peer of another version.
TEST(WirePlacementTest, AnUnknownErrorKindBecomesInternal)
{
    Wire::PlacementAnswerT answer;
    answer.error = 9999;
    CHECK(refusalFromWire(answer, {HostId("h"), 1}).kind == ErrorKind::Internal);
}

// Guards against an outcome of another version, or of a damaged message, that counts as a success of the upstream.
TEST(WirePlacementTest, AnUnknownOutcomeSaysNothing)
{
    CHECK(outcomeFromWire(static_cast<std::uint8_t>(Placement::GrantOutcome::Malformed)) == Placement::GrantOutcome::Malformed);
    CHECK(outcomeFromWire(200) == Placement::GrantOutcome::Cancelled);
}

// Guards against a notice, or the process that gave it, getting lost on the way to the owner.
TEST(WirePlacementTest, ANoticeArrivesWhole)
{
    Placement::Assignment assignment;
    assignment.upstream = UpstreamId("u0");
    assignment.upstreamStart = 5;
    const Wire::UpstreamNoticeT message = toWire(assignment, {true, milliseconds(1500)});
    STRCMP_EQUAL("u0", message.upstream.c_str());
    LONGS_EQUAL(5, message.start);
    CHECK(fromWire(message).leaving);
    CHECK(fromWire(message).pause == milliseconds(1500));
}

// Guards against states of suspects that change on the way, so that hosts never agree.
TEST(WirePlacementTest, AStateOfASuspectArrivesWhole)
{
    const Placement::SuspectState state{7, {1, 2}, {3, 4}, 5, 2};
    CHECK(fromWire(toWire(state)) == state);
}

// Guards against a message of thousands of equal states after each crash, and against one that loses some of them.
TEST(WirePlacementTest, SuspectsOfWhichTheSameIsKnownShareAnEntry)
{
    std::vector<Placement::SuspectState> states;
    for (Placement::SuspectId suspect = 1; suspect <= 1'000; ++suspect) {
        states.push_back({suspect, {11, 12}, {}, 0, 0});
    }
    states.push_back({2'000, {11, 12, 13}, {5}, 2, 1});
    const Wire::CrashUpdateT update = toWire(states);
    LONGS_EQUAL(2, update.suspects.size());
    CHECK(states == fromWire(update));
}
