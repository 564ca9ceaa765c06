#include "Forwarding/OwnershipGate.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint now = TimePoint(seconds(1000));
const ServiceId service("s");
constexpr seconds staleAfter{3};
constexpr milliseconds catchUpTime{1500};

Placement::PlacementRequest request(const ServiceId &requested = service, std::uint64_t number = 1)
{
    Placement::PlacementRequest result;
    result.id = {HostId("h"), number};
    result.service = requested;
    result.arrivedAt = now;
    return result;
}

OwnershipGate gate()
{
    OwnershipGate result(OwnershipLimits{.staleAfter = staleAfter, .catchUpTime = catchUpTime});
    result.setServices({service});
    return result;
}

StoreViewStatus view(std::uint64_t revision, Duration age, std::uint64_t era = 0)
{
    return {era, revision, age};
}

}

TEST_GROUP(OwnershipGateTest){};

// Guards against an owner that places requests on upstreams that have left, and against some callers that stay with it while others go to the next owner.
TEST(OwnershipGateTest, AStaleOwnerDeclinesAllCallersUntilItsViewHasCaughtUp)
{
    OwnershipGate owner = gate();
    const StoreViewStatus own = view(10, seconds(5));
    CHECK(owner.decide(request(), view(10, milliseconds(0)), own, now - catchUpTime) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(12, milliseconds(500)), own, now - catchUpTime) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(12, milliseconds(500)), own, now) == OwnershipDecision::Decline);
    CHECK(owner.decide(request(), view(10, seconds(5)), own, now) == OwnershipDecision::Decline);
    CHECK(owner.decide(request(), std::nullopt, view(10, seconds(15)), now + seconds(10)) == OwnershipDecision::Decline);
    CHECK(owner.decide(request(), std::nullopt, view(12, seconds(0)), now + seconds(10)) == OwnershipDecision::Place);
}

// Guards against an owner that declines because its revision belongs to another era of the store.
TEST(OwnershipGateTest, ErasAreComparedBeforeRevisions)
{
    OwnershipGate owner = gate();
    const StoreViewStatus own = view(10, seconds(5), 2);
    CHECK(owner.decide(request(), view(50, seconds(0), 1), own, now - catchUpTime) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(50, seconds(0), 1), own, now) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(3, seconds(0), 3), own, now) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(3, seconds(0), 3), own, now + catchUpTime) == OwnershipDecision::Decline);
}

// Guards against a change of owner when the store returns after an outage for all, and one host reads it a moment before the owner does.
TEST(OwnershipGateTest, AnOwnerThatCatchesUpInTimeDoesNotDecline)
{
    OwnershipGate owner = gate();
    CHECK(owner.decide(request(), view(12, seconds(0)), view(10, seconds(8)), now) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(12, seconds(0)), view(10, seconds(9)), now + milliseconds(900)) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(12, seconds(0)), view(12, seconds(0)), now + seconds(1)) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(13, seconds(0)), view(12, seconds(4)), now + seconds(5)) == OwnershipDecision::Place);
    CHECK(owner.decide(request(), view(13, seconds(0)), view(12, seconds(6)), now + seconds(7)) == OwnershipDecision::Decline);
}

// Guards against a fleet in which all hosts decline, because the store is away for all and their last views differ a little.
TEST(OwnershipGateTest, NobodyDeclinesWhileTheStoreIsAwayForAll)
{
    Mangofall::Testing::checkProperty("views that age together cause no decline", []() {
        OwnershipGate owner = gate();
        Duration outage{0};
        const auto spread = []() {
            return milliseconds(*rc::gen::inRange(0, 2999));
        };
        const Duration ownLag = spread();
        const auto ownRevision = *rc::gen::inRange<std::uint64_t>(1, 20);
        for (int call = 0; call < 20; ++call) {
            outage += milliseconds(*rc::gen::inRange(0, 2000));
            const StoreViewStatus caller = view(*rc::gen::inRange<std::uint64_t>(1, 20), outage + spread());
            RC_ASSERT(owner.decide(request(), caller, view(ownRevision, outage + ownLag), now + outage) == OwnershipDecision::Place);
        }
    });
}

// Guards against requests that are refused as unservable by an owner that has not read yet which upstreams there are.
TEST(OwnershipGateTest, RequestsWaitForTheFirstReadOfAnOwnerThatHasJustStarted)
{
    OwnershipGate owner = gate();
    CHECK(owner.decide(request(), view(10, seconds(0)), StoreViewStatus(), now) == OwnershipDecision::Defer);
    CHECK(owner.takeDecided(StoreViewStatus(), now + milliseconds(140)).empty());
    OwnershipGate unread = owner;
    const auto decided = owner.takeDecided(view(10, seconds(0)), now + milliseconds(140));
    LONGS_EQUAL(1, decided.size());
    CHECK(decided.front().second == OwnershipDecision::Place);
    // An owner that cannot read the store must not hold requests that others could place.
    CHECK(unread.takeDecided(StoreViewStatus(), now + milliseconds(150)).front().second == OwnershipDecision::Decline);
    // It reads soon, and callers are to come back to it then.
    CHECK(unread.declineTime() <= seconds(1));
}

// Guards against requests that are refused because their caller has read a new configuration earlier than the owner.
TEST(OwnershipGateTest, RequestsOfAnUnknownServiceWaitForItsConfiguration)
{
    OwnershipGate owner = gate();
    const ServiceId other("other");
    const StoreViewStatus own = view(10, seconds(0));
    CHECK(owner.decide(request(other), own, own, now) == OwnershipDecision::Defer);
    CHECK(owner.decide(request(other), own, own, now + milliseconds(400)) == OwnershipDecision::Defer);
    owner.setServices({service, other});
    LONGS_EQUAL(1, owner.takeDecided(own, now + milliseconds(500)).size());
    CHECK(owner.decide(request(ServiceId("none")), own, own, now + milliseconds(1500)) == OwnershipDecision::Place);
}

// Guards against a host that is chosen as owner while it stops, and against requests that were withdrawn and are placed later.
TEST(OwnershipGateTest, AHostThatLeavesDeclines)
{
    OwnershipGate owner = gate();
    owner.decide(request(service, 1), std::nullopt, StoreViewStatus(), now);
    owner.decide(request(service, 2), std::nullopt, StoreViewStatus(), now);
    owner.remove({HostId("h"), 1});
    owner.startLeaving();
    const auto decided = owner.takeDecided(StoreViewStatus(), now);
    LONGS_EQUAL(1, decided.size());
    CHECK(decided.front().second == OwnershipDecision::Decline);
    CHECK(owner.declineTime() >= seconds(10));
}
