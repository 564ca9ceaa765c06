#include "Property.h"

#include "StandIns/StoreState.h"

#include <optional>

using namespace Mangofall;
using namespace Mangofall::StandIns;
using namespace std::chrono_literals;

TEST_GROUP(StoreStateTest){};

// Guards against a compare-and-swap that applies two writes with the same expected version.
TEST(StoreStateTest, OneOfTwoWritesWithTheSameExpectedVersionIsApplied)
{
    StoreState store;
    CHECK(store.put("k", "a", 0).status == StorePutStatus::Applied);
    CHECK(store.put("k", "b", 0).status == StorePutStatus::Conflict);
    const std::uint64_t version = store.find("k")->version;
    CHECK(store.put("k", "b", version).status == StorePutStatus::Applied);
    CHECK(store.put("k", "c", version).status == StorePutStatus::Conflict);
    STRCMP_EQUAL("b", store.find("k")->bytes.c_str());
    CHECK(store.put("k", std::string(maxStoreValueBytes + 1, 'x'), store.find("k")->version).status == StorePutStatus::TooLarge);
}

// Guards against a lease that outlives its time to live, and against a key whose version starts again after the key was removed.
TEST(StoreStateTest, AnExpiredLeaseRemovesItsKeys)
{
    StoreState store;
    const TimePoint start;
    const std::uint64_t lease = store.createLease(100ms, start);
    const std::uint64_t version = store.put("k", "a", 0, lease).version;
    CHECK_TRUE(store.renewLease(lease, start + 90ms));
    store.expireLeases(start + 110ms);
    CHECK(store.find("k") != nullptr);
    store.expireLeases(start + 190ms);
    CHECK(store.find("k") == nullptr);
    CHECK_FALSE(store.renewLease(lease, start + 191ms));
    CHECK(store.put("k", "b", 0, lease).status == StorePutStatus::NoLease);
    CHECK(store.put("k", "b", 0).version > version);
}

// Guards against a rate limit that admits more calls in any period than the sustained rate plus one burst.
TEST(StoreStateTest, AdmitsAtMostTheRate)
{
    Testing::checkProperty("calls stay within rate and burst", [] {
        const int rate = *rc::gen::inRange(10, 2000);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
        StoreState store;
        store.setCallsPerSecond(rate);
        TimePoint now;
        int admitted = 0;
        for (const int gap : gaps) {
            now += std::chrono::microseconds(gap);
            admitted += store.admitCall(StoreCallKind::Get, now) ? 1 : 0;
        }
        RC_ASSERT(admitted <= Seconds(now - TimePoint()).count() * rate + std::max(1.0, rate * 0.1) + 1e-6);
        RC_ASSERT(admitted + store.callsOverRate() == gaps.size());
    });
}
