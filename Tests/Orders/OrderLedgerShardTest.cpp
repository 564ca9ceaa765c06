#include "Orders/OrderLedgerShard.h"

#include <unordered_map>

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;

namespace {

using std::chrono::milliseconds;

struct Fixture {
    explicit Fixture(const OrderLimits &limits, const char *writer = "a/1")
        : shard("head", writer, limits)
    {
    }

    // Executes the store calls among the actions at once and returns the other actions.
    LedgerActions run(LedgerActions actions)
    {
        LedgerActions remaining;
        for (std::size_t i = 0; i < actions.size(); ++i) {
            StoreAnswered answer;
            if (const auto *read = std::get_if<ReadKey>(&actions[i])) {
                answer = {read->call, version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, version, value};
            } else if (const auto *write = std::get_if<WriteKey>(&actions[i])) {
                largestValue = std::max(largestValue, write->value.size());
                value = write->value;
                answer = {write->call, StoreStatus::Ok, ++version, {}};
            } else {
                remaining.push_back(actions[i]);
                continue;
            }
            const LedgerActions more = shard.handle(answer, now);
            actions.insert(actions.end(), more.begin(), more.end());
        }
        return remaining;
    }

    TimePoint now{std::chrono::seconds(1)};
    StoreVersion version = 0;
    std::string value;
    std::size_t largestValue = 0;
    OrderLedgerShard shard;
};

OrderClaim claimOf(const std::string &key, std::uint64_t sequence)
{
    return {OrderKey(key), {1, 1, sequence}, "hash", OrganisationId("organisation"), ServiceId("service"), UpstreamId("upstream"), true, {}};
}

template<class Action>
const Action *onlyAction(const LedgerActions &actions)
{
    return actions.size() == 1 ? std::get_if<Action>(&actions.front()) : nullptr;
}

}

TEST_GROUP(OrderLedgerShardTest){};

// Guards against a head that exceeds the store's limit on values, and against dropping an unresolved order or one within its
// retention time to stay below the limit.
TEST(OrderLedgerShardTest, HeadStaysBoundedAndKeepsRetainedRecords)
{
    int refusals = 0;
    int forgotten = 0;
    Testing::checkProperty("a head stays within its limit and keeps the records that it must", [&](std::uint32_t seed) {
        OrderLimits limits;
        limits.maxHeadBytes = 6'000;
        limits.maxInlineBytes = 200;
        limits.retention = milliseconds(1'000);
        Fixture fixture(limits);
        fixture.run(fixture.shard.handle(BecomeOwner(), fixture.now));
        std::unordered_map<OrderKey, std::pair<AttemptId, std::optional<TimePoint>>> known;
        for (std::uint64_t i = 0; i < 150; ++i) {
            fixture.now += milliseconds((seed >> (i % 7)) % 100);
            const OrderClaim claim = claimOf("key " + std::to_string(i), i);
            const LedgerActions answer = fixture.run(fixture.shard.handle(ClaimOrder{claim}, fixture.now));
            const auto *refused = onlyAction<ClaimRefused>(answer);
            if (refused != nullptr) {
                RC_ASSERT(refused->reason == ErrorKind::QueueFull);
                RC_ASSERT(refused->notRun);
                ++refusals;
            } else {
                RC_ASSERT(onlyAction<ClaimGranted>(answer) != nullptr);
                known[claim.key] = {claim.attempt, std::nullopt};
            }
            for (auto &[key, state] : known) {
                if (!state.second && (std::hash<std::string>()(key.value()) + seed + i) % 5 == 0) {
                    const OrderOutcome outcome{200, std::string(100, 't'), std::string(seed % 201, 'b'), {}, false};
                    const OrderResolution resolution{true, ResolutionSource::UpstreamAnswer, outcome};
                    RC_ASSERT(onlyAction<OrderRecorded>(fixture.run(fixture.shard.handle(ResolveOrder{key, state.first, resolution}, fixture.now))) != nullptr);
                    state.second = fixture.now;
                }
            }
            RC_ASSERT(fixture.largestValue <= limits.maxHeadBytes);
        }
        // The next owner reads what the store holds.
        const std::optional<LedgerHead> head = decodeHead(fixture.value);
        RC_ASSERT(head.has_value());
        for (const auto &[key, state] : known) {
            const bool mustBeKept = !state.second || fixture.now - *state.second <= limits.retention;
            RC_ASSERT(!mustBeKept || head->records.contains(key));
            forgotten += head->records.contains(key) ? 0 : 1;
        }
    });
    CHECK(refusals > 100);
    CHECK(forgotten > 100);
}

// Guards against dropping orders of unknown outcome to make space: if they fill the head, new orders are refused.
TEST(OrderLedgerShardTest, UnknownOrdersAreNeverDroppedForNewOnes)
{
    OrderLimits limits;
    limits.maxHeadBytes = 20'000;
    limits.retention = milliseconds(1);
    Fixture fixture(limits);
    fixture.run(fixture.shard.handle(BecomeOwner(), fixture.now));
    std::uint64_t granted = 0;
    while (onlyAction<ClaimGranted>(fixture.run(fixture.shard.handle(ClaimOrder{claimOf(std::to_string(granted), granted)}, fixture.now))) != nullptr) {
        ++granted;
        fixture.now += std::chrono::hours(1);
    }
    Fixture next(limits, "b/1");
    next.value = fixture.value;
    next.version = fixture.version;
    const LedgerActions confirmed = next.run(next.shard.handle(BecomeOwner(), next.now));
    LONGS_EQUAL(granted, onlyAction<OwnershipConfirmed>(confirmed)->unresolved.size());
    const LedgerActions refused = next.run(next.shard.handle(ClaimOrder{claimOf("new", 1000)}, next.now));
    CHECK(onlyAction<ClaimRefused>(refused)->reason == ErrorKind::QueueFull);
    CHECK(onlyAction<ClaimRefused>(refused)->notRun);
    const OrderResolution decision{false, ResolutionSource::Operator, {}};
    next.run(next.shard.handle(ResolveOrder{OrderKey("0"), claimOf("0", 0).attempt, decision}, next.now));
    next.now += std::chrono::seconds(1);
    CHECK(onlyAction<ClaimGranted>(next.run(next.shard.handle(ClaimOrder{claimOf("new", 1000)}, next.now))) != nullptr);
}

// Guards against two writes of the head in flight at once, and against one store call for each claim of a batch.
TEST(OrderLedgerShardTest, PendingClaimsShareOneWrite)
{
    Fixture fixture(OrderLimits{});
    fixture.run(fixture.shard.handle(BecomeOwner(), fixture.now));
    const LedgerActions first = fixture.shard.handle(ClaimOrder{claimOf("0", 0)}, fixture.now);
    CHECK(onlyAction<WriteKey>(first) != nullptr);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        CHECK(fixture.shard.handle(ClaimOrder{claimOf(std::to_string(i), i)}, fixture.now).empty());
    }
    const StoreVersion before = fixture.version;
    LONGS_EQUAL(101, fixture.run(first).size());
    LONGS_EQUAL(before + 2, fixture.version);
}

// Guards against a former owner that continues after another process raised the epoch, and that ignores the claims of
// the new owner in its answers.
TEST(OrderLedgerShardTest, ConflictEndsOwnership)
{
    Fixture former(OrderLimits{});
    former.run(former.shard.handle(BecomeOwner(), former.now));
    former.run(former.shard.handle(ClaimOrder{claimOf("a", 1)}, former.now));
    Fixture next(OrderLimits{}, "b/1");
    next.value = former.value;
    next.version = former.version;
    next.run(next.shard.handle(BecomeOwner(), next.now));
    next.run(next.shard.handle(ClaimOrder{claimOf("b", 2)}, next.now));
    const LedgerActions write = former.shard.handle(ClaimOrder{claimOf("b", 3)}, former.now);
    const LedgerActions read = former.shard.handle(StoreAnswered{onlyAction<WriteKey>(write)->call, StoreStatus::Conflict, 0, {}}, former.now);
    const LedgerActions lost = former.shard.handle(StoreAnswered{onlyAction<ReadKey>(read)->call, StoreStatus::Ok, next.version, next.value}, former.now);
    LONGS_EQUAL(2, lost.size());
    CHECK(std::get<ClaimExists>(lost[0]).record.claim.attempt == claimOf("b", 2).attempt);
    CHECK_FALSE(std::get<ClaimExists>(lost[0]).owned);
    CHECK(std::get<OwnershipLost>(lost[1]).reason == OwnershipLossReason::Fenced);
    CHECK(onlyAction<ClaimRefused>(former.shard.handle(ClaimOrder{claimOf("c", 4)}, former.now)) != nullptr);
}
