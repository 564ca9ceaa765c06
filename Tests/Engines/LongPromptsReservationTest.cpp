#include "Engines/OrphanCollector.h"
#include "Engines/ReservationTable.h"

// Property.h comes last: CppUTest defines new as a macro, and the headers above use new.
#include "Property.h"

using namespace Mangofall;

namespace {

using std::chrono::seconds;

const TimePoint start{seconds(100)};
const TimePoint newReservationsFrom = start + ReservationLimits().validity;
const AttemptId first{1, 1, 1};
const AttemptId second{1, 1, 2};

bool granted(const ReservationActions &actions)
{
    return std::get<ReservationAnswered>(actions.back()).granted;
}

}

TEST_GROUP(LongPromptsReservationTest){};

// Guards against a sum of reservations above the engine's memory, and against memory that stays reserved after expiry or release.
TEST(LongPromptsReservationTest, SumNeverExceedsMemory)
{
    Testing::checkProperty("reservations fit", [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>> &calls) {
        ReservationTable table(100, start, {});
        TimePoint now = newReservationsFrom;
        for (const auto &[owner, tokens, release] : calls) {
            now += std::chrono::milliseconds(tokens * 20);
            const AttemptId id{1, 1, owner % 5U};
            if (release) {
                table.handle(ReleaseMemory{id}, now);
            } else {
                const std::uint64_t before = table.owners().contains(id) ? 0 : table.reservedTokens();
                const bool fits = granted(table.handle(ReserveMemory{id, tokens, false}, now));
                RC_ASSERT(fits || before > 0U || table.reservedTokens() > 0U || tokens > 100);
            }
            RC_ASSERT(table.reservedTokens() <= 100U);
        }
        table.handle(ReservationTick(), now + ReservationLimits().validity);
        RC_ASSERT(table.reservedTokens() == 0U);
        RC_ASSERT(granted(table.handle(ReserveMemory{first, 100, false}, now + ReservationLimits().validity)));
    });
}

// Guards against a new dispatcher that grants memory that a live owner still has reserved from its predecessor.
TEST(LongPromptsReservationTest, NewDispatcherAcceptsRenewalsFirst)
{
    ReservationTable table(100, start, {});
    CHECK_FALSE(granted(table.handle(ReserveMemory{first, 60, false}, start)));
    CHECK_TRUE(granted(table.handle(ReserveMemory{second, 60, true}, start + seconds(1))));
    CHECK_FALSE(granted(table.handle(ReserveMemory{first, 60, false}, newReservationsFrom)));
    CHECK_TRUE(granted(table.handle(ReserveMemory{first, 40, false}, newReservationsFrom)));
}

// Guards against a block that the engine adds after its owner's release and that is never freed.
TEST(LongPromptsReservationTest, LateBlockIsFreedAtOnce)
{
    ReservationTable table(100, start, {});
    table.handle(ReserveMemory{first, 60, false}, newReservationsFrom);
    const KvBlock early{KvBlockId("early"), KvBlockKind::Exported, first};
    const KvBlock late{KvBlockId("late"), KvBlockKind::Pinned, first};
    CHECK(table.handle(BlockAdded{early}, newReservationsFrom).empty());
    CHECK(std::get<FreeBlock>(table.handle(ReleaseMemory{first}, newReservationsFrom).front()).block == early);
    CHECK(std::get<FreeBlock>(table.handle(BlockAdded{late}, newReservationsFrom).front()).block == late);
}

// Guards against freeing a live owner's block, freeing an orphan before the grace period has passed, and not freeing it after that.
TEST(LongPromptsReservationTest, OrphansAreFreedAfterGracePeriod)
{
    OrphanCollector collector(seconds(10));
    const KvBlock live{KvBlockId("living"), KvBlockKind::Exported, first};
    const KvBlock orphan{KvBlockId("orphan"), KvBlockKind::Exported, second};
    const HeldBlocksListed listed{{live, orphan}, {first}};
    CHECK(collector.handle(listed, start).empty());
    CHECK(collector.handle(listed, start + seconds(9)).empty());
    const std::vector<FreeBlock> freeable = collector.handle(listed, start + seconds(10));
    LONGS_EQUAL(1, freeable.size());
    CHECK(freeable.front().block == orphan);
    // After its owner was live again, an orphan gets a new grace period.
    CHECK(collector.handle({{orphan}, {second}}, start + seconds(11)).empty());
    CHECK(collector.handle({{orphan}, {}}, start + seconds(12)).empty());
}
