#include "Daemon/EngineKvBlocks.h"
#include "Daemon/EngineKvManager.h"
#include "Daemon/LongPromptRouting.h"

#include <nlohmann/json.hpp>

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t memory = 1000;
constexpr std::uint64_t segment = 600;

AttemptId arbitraryAttempt()
{
    return {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
}

KvBlock exportedBlock(const AttemptId &owner)
{
    return {kvBlockId(owner, 0), KvBlockKind::Exported, owner};
}

// A manager that took over long enough before \p now to grant new reservations.
EngineKvManager managerReadyToGrant(TimePoint now)
{
    const ReservationLimits limits;
    EngineKvManager manager(memory, limits);
    manager.activate(now - limits.validity);
    for (TimePoint time = now - limits.validity; time <= now; time += 1s) {
        manager.tick(time);
    }
    return manager;
}

}

TEST_GROUP(EngineKvTest){};

// Guards against blocks whose owner a new dispatcher cannot tell from the engine's list, which it would never free.
TEST(EngineKvTest, TheListNamesTheOwnerOfEachBlock)
{
    Testing::checkProperty("owners are read back", [] {
        const AttemptId owner = arbitraryAttempt();
        const KvBlockId id = kvBlockId(owner, *rc::gen::inRange<std::size_t>(0, 100));
        const auto unrelatedId = *rc::gen::element<std::string>("", "block-1", id.value() + "x", id.value().substr(0, id.value().find('.')));
        const nlohmann::json list = {{"blocks", {{{"id", unrelatedId}, {"tokens", 1}}, {{"id", id.value()}, {"tokens", 1}}}}};
        const auto blocks = parseKvBlocks(list.dump());
        RC_ASSERT(blocks.has_value());
        RC_ASSERT(*blocks == std::vector<KvBlock>(1, {id, KvBlockKind::Exported, owner}));
        const auto called = parseCalledKvBlock(nlohmann::json{{"id", id.value()}, {"tokens", 0}}.dump());
        RC_ASSERT(called == blocks->front());
    });
}

// Guards against an error body being taken for an empty list, which would reset the grace of all orphans.
TEST(EngineKvTest, OtherAnswersAreNoList)
{
    for (const char *body : {"", "{}", "[]", R"({"blocks": 1})", R"({"error": "busy"})"}) {
        CHECK_TEXT(!parseKvBlocks(body).has_value(), body);
    }
}

// Guards against a former dispatcher, or one that was paused, freeing blocks of owners that renew elsewhere.
TEST(EngineKvTest, FreesNothingOfOwnersThatMayRenewElsewhere)
{
    Testing::checkProperty("no block is freed by an expiry unseen", [] {
        const TimePoint start = TimePoint() + 1h;
        const AttemptId owner = arbitraryAttempt();
        EngineKvManager manager = managerReadyToGrant(start);
        RC_ASSERT(manager.reserve({owner, segment, false}, start));
        RC_ASSERT(manager.addBlock({exportedBlock(owner)}, start).empty());
        const Duration pause = std::chrono::seconds(*rc::gen::inRange(11, 100));
        const bool released = *rc::gen::arbitrary<bool>();
        if (released) {
            manager.deactivate();
        }
        RC_ASSERT(manager.tick(start + pause).empty());
        RC_ASSERT(manager.handleBlockList({exportedBlock(owner)}, start + pause).empty());
        RC_ASSERT(!manager.reserve({arbitraryAttempt(), segment, false}, start + pause));
        RC_ASSERT(manager.reserve({owner, segment, true}, start + pause) == !released);
    });
}

// Guards against a leak after the owner died, and against a block freed while its reservation is valid.
TEST(EngineKvTest, FreesTheBlocksOfAnOwnerThatRenewsNoMore)
{
    Testing::checkProperty("blocks live as long as the reservation", [] {
        const TimePoint start = TimePoint() + 1h;
        const AttemptId owner = arbitraryAttempt();
        EngineKvManager manager = managerReadyToGrant(start);
        RC_ASSERT(manager.reserve({owner, segment, false}, start));
        RC_ASSERT(manager.addBlock({exportedBlock(owner)}, start).empty());
        const auto renewals = *rc::gen::inRange(0, 4);
        const TimePoint expiry = start + renewals * 3s + ReservationLimits().validity;
        std::vector<KvBlock> freed;
        for (TimePoint now = start + 1s; now <= expiry + 1s; now += 1s) {
            if (now <= start + renewals * 3s && (now - start) % 3s == Duration::zero()) {
                RC_ASSERT(manager.reserve({owner, segment, true}, now));
            }
            for (const KvBlock &block : manager.tick(now)) {
                RC_ASSERT(now >= expiry);
                freed.push_back(block);
            }
        }
        RC_ASSERT(freed == std::vector<KvBlock>(1, exportedBlock(owner)));
    });
}

// Guards against a reservation whose expiry another call notices: its blocks must still be freed.
TEST(EngineKvTest, FreesBlocksThatExpireDuringAnotherReservation)
{
    const TimePoint start = TimePoint() + 1h;
    const AttemptId owner{1, 1, 1};
    EngineKvManager manager = managerReadyToGrant(start);
    CHECK_TRUE(manager.reserve({owner, segment, false}, start));
    CHECK_TRUE(manager.addBlock({exportedBlock(owner)}, start).empty());
    for (TimePoint now = start; now < start + 10s; now += 1s) {
        CHECK_TRUE(manager.tick(now).empty());
    }
    CHECK_TRUE(manager.reserve({AttemptId{1, 1, 2}, segment, false}, start + 10s));
    CHECK_TRUE(manager.tick(start + 10s) == std::vector<KvBlock>(1, exportedBlock(owner)));
}

// Guards against an answer computed without the segment that a restarted engine lost.
TEST(EngineKvTest, RefusesRenewalsAfterTheEngineRestarted)
{
    const TimePoint start = TimePoint() + 1h;
    const AttemptId owner{1, 1, 1};
    EngineKvManager manager = managerReadyToGrant(start);
    manager.updateEngineEpoch(7);
    CHECK_TRUE(manager.reserve({owner, segment, false}, start));
    manager.updateEngineEpoch(7);
    CHECK_TRUE(manager.reserve({owner, segment, true}, start));
    manager.updateEngineEpoch(8);
    CHECK_FALSE(manager.reserve({owner, segment, true}, start));
    manager.release({owner}, start);
    CHECK_TRUE(manager.reserve({AttemptId{1, 1, 2}, segment, false}, start));
}

TEST_GROUP(LongPromptRoutingTest){};

// Guards against a prompt that one engine can run being split, and one that none can run being sent to one.
TEST(LongPromptRoutingTest, SplitsOnlyWhatNoEngineHolds)
{
    Testing::checkProperty("the largest engine decides", [] {
        std::vector<UpstreamSpec> specs(*rc::gen::inRange<std::size_t>(0, 5));
        std::vector<const UpstreamSpec *> engines;
        std::uint64_t largest = 0;
        for (UpstreamSpec &spec : specs) {
            spec.memoryTokens = *rc::gen::inRange<std::uint64_t>(1, 100);
            largest = std::max(largest, spec.memoryTokens);
            engines.push_back(&spec);
        }
        const auto prompt = *rc::gen::inRange<std::uint64_t>(1, 120);
        RC_ASSERT(exceedsEveryEngine(prompt, engines) == (!engines.empty() && prompt > largest));
    });
}
