#include "Engines/OrphanCollector.h"
#include "Engines/ReservationTable.h"

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;

namespace {

using std::chrono::seconds;

const TimePoint start{seconds(100)};
const TimePoint open = start + ReservationLimits().validity;
const AttemptId first{1, 1, 1};
const AttemptId second{1, 1, 2};

bool granted(const ReservationActions &actions)
{
    return std::get<ReservationAnswered>(actions.back()).granted;
}

}

TEST_GROUP(LongPromptsReservationTest){};

// Guards against a sum of reservations above the engine's memory, and against room that is lost after expiry and release.
TEST(LongPromptsReservationTest, SumNeverExceedsMemory)
{
    Testing::checkProperty("reservations fit", [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>> &calls) {
        ReservationTable table(100, start, {});
        TimePoint now = open;
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

// Guards against a new dispatcher that promises memory which a living owner of its predecessor still holds.
TEST(LongPromptsReservationTest, NewDispatcherAcceptsRenewalsFirst)
{
    ReservationTable table(100, start, {});
    CHECK_FALSE(granted(table.handle(ReserveMemory{first, 60, false}, start)));
    CHECK_TRUE(granted(table.handle(ReserveMemory{second, 60, true}, start + seconds(1))));
    CHECK_FALSE(granted(table.handle(ReserveMemory{first, 60, false}, open)));
    CHECK_TRUE(granted(table.handle(ReserveMemory{first, 40, false}, open)));
}

// Guards against a block that the engine exports after its owner's release and that nobody frees.
TEST(LongPromptsReservationTest, LateBlockIsFreedAtOnce)
{
    ReservationTable table(100, start, {});
    table.handle(ReserveMemory{first, 60, false}, open);
    const KvBlock early{KvBlockId("early"), KvBlockKind::Exported, first};
    const KvBlock late{KvBlockId("late"), KvBlockKind::Pinned, first};
    CHECK(table.handle(BlockAdded{early}, open).empty());
    CHECK(std::get<FreeBlock>(table.handle(ReleaseMemory{first}, open).front()).block == early);
    CHECK(std::get<FreeBlock>(table.handle(BlockAdded{late}, open).front()).block == late);
}

// Guards against freeing a living owner's block, freeing before the grace, and leaving an orphan after it.
TEST(LongPromptsReservationTest, OrphansAreFreedAfterTheGrace)
{
    OrphanCollector collector(seconds(10));
    const KvBlock living{KvBlockId("living"), KvBlockKind::Exported, first};
    const KvBlock orphan{KvBlockId("orphan"), KvBlockKind::Exported, second};
    const HeldBlocksListed listed{{living, orphan}, {first}};
    CHECK(collector.handle(listed, start).empty());
    CHECK(collector.handle(listed, start + seconds(9)).empty());
    const std::vector<FreeBlock> due = collector.handle(listed, start + seconds(10));
    LONGS_EQUAL(1, due.size());
    CHECK(due.front().block == orphan);
    // An owner that lives again starts a new grace.
    CHECK(collector.handle({{orphan}, {second}}, start + seconds(11)).empty());
    CHECK(collector.handle({{orphan}, {}}, start + seconds(12)).empty());
}
