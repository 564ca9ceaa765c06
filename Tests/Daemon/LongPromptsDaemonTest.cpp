#include "Daemon/EngineKvBlocks.h"
#include "Daemon/EngineKvManager.h"
#include "Daemon/LongPromptRouting.h"

#include <nlohmann/json.hpp>

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t engineMemory = 1000;
constexpr std::uint64_t segmentTokens = 600;

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
    EngineKvManager manager(engineMemory, limits);
    manager.activate(now - limits.validity);
    for (TimePoint time = now - limits.validity; time <= now; time += 1s) {
        manager.tick(time);
    }
    return manager;
}

}

TEST_GROUP(EngineKvTest){};

// Guards against block ids from which a new dispatcher cannot read the owner; it would never free such blocks.
TEST(EngineKvTest, TheListNamesTheOwnerOfEachBlock)
{
    Testing::checkProperty("the owner is read back from the block id", [] {
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

// Guards against reading an error body as an empty list, which would restart the grace period of all orphaned blocks.
TEST(EngineKvTest, RejectsBodiesThatAreNoBlockList)
{
    for (const char *body : {"", "{}", "[]", R"({"blocks": 1})", R"({"error": "busy"})"}) {
        CHECK_TEXT(!parseKvBlocks(body).has_value(), body);
    }
}

// Guards against a former dispatcher, or one whose process was paused, freeing blocks of owners that renew at another one.
TEST(EngineKvTest, FreesNothingOfOwnersThatMayRenewElsewhere)
{
    Testing::checkProperty("no block is freed after a release of ownership or a pause", [] {
        const TimePoint start = TimePoint() + 1h;
        const AttemptId owner = arbitraryAttempt();
        EngineKvManager manager = managerReadyToGrant(start);
        RC_ASSERT(manager.reserve({owner, segmentTokens, false}, start));
        RC_ASSERT(manager.addBlock({exportedBlock(owner)}, start).empty());
        const Duration pause = std::chrono::seconds(*rc::gen::inRange(11, 100));
        const bool released = *rc::gen::arbitrary<bool>();
        if (released) {
            manager.deactivate();
        }
        RC_ASSERT(manager.tick(start + pause).empty());
        RC_ASSERT(manager.handleBlockList({exportedBlock(owner)}, start + pause).empty());
        RC_ASSERT(!manager.reserve({arbitraryAttempt(), segmentTokens, false}, start + pause));
        RC_ASSERT(manager.reserve({owner, segmentTokens, true}, start + pause) == !released);
    });
}

// Guards against leaking blocks after the owner died, and against freeing a block while its reservation is valid.
TEST(EngineKvTest, FreesTheBlocksOfAnOwnerThatRenewsNoMore)
{
    Testing::checkProperty("blocks are freed when the reservation expires, not before", [] {
        const TimePoint start = TimePoint() + 1h;
        const AttemptId owner = arbitraryAttempt();
        EngineKvManager manager = managerReadyToGrant(start);
        RC_ASSERT(manager.reserve({owner, segmentTokens, false}, start));
        RC_ASSERT(manager.addBlock({exportedBlock(owner)}, start).empty());
        const auto renewals = *rc::gen::inRange(0, 4);
        const TimePoint expiry = start + renewals * 3s + ReservationLimits().validity;
        std::vector<KvBlock> freed;
        for (TimePoint now = start + 1s; now <= expiry + 1s; now += 1s) {
            if (now <= start + renewals * 3s && (now - start) % 3s == Duration::zero()) {
                RC_ASSERT(manager.reserve({owner, segmentTokens, true}, now));
            }
            for (const KvBlock &block : manager.tick(now)) {
                RC_ASSERT(now >= expiry);
                freed.push_back(block);
            }
        }
        RC_ASSERT(freed == std::vector<KvBlock>(1, exportedBlock(owner)));
    });
}

// Guards against leaking the blocks of a reservation that is found expired while another reservation is handled.
TEST(EngineKvTest, FreesBlocksThatExpireDuringAnotherReservation)
{
    const TimePoint start = TimePoint() + 1h;
    const AttemptId owner{1, 1, 1};
    EngineKvManager manager = managerReadyToGrant(start);
    CHECK_TRUE(manager.reserve({owner, segmentTokens, false}, start));
    CHECK_TRUE(manager.addBlock({exportedBlock(owner)}, start).empty());
    for (TimePoint now = start; now < start + 10s; now += 1s) {
        CHECK_TRUE(manager.tick(now).empty());
    }
    CHECK_TRUE(manager.reserve({AttemptId{1, 1, 2}, segmentTokens, false}, start + 10s));
    CHECK_TRUE(manager.tick(start + 10s) == std::vector<KvBlock>(1, exportedBlock(owner)));
}

// Guards against an answer computed without the segment that a restarted engine lost.
TEST(EngineKvTest, RefusesRenewalsAfterTheEngineRestarted)
{
    const TimePoint start = TimePoint() + 1h;
    const AttemptId owner{1, 1, 1};
    EngineKvManager manager = managerReadyToGrant(start);
    manager.updateEngineEpoch(7);
    CHECK_TRUE(manager.reserve({owner, segmentTokens, false}, start));
    manager.updateEngineEpoch(7);
    CHECK_TRUE(manager.reserve({owner, segmentTokens, true}, start));
    manager.updateEngineEpoch(8);
    CHECK_FALSE(manager.reserve({owner, segmentTokens, true}, start));
    manager.release({owner}, start);
    CHECK_TRUE(manager.reserve({AttemptId{1, 1, 2}, segmentTokens, false}, start));
}

TEST_GROUP(LongPromptRoutingTest){};

// Guards against splitting a prompt that one engine can run, and against sending a prompt to an engine that cannot hold it.
TEST(LongPromptRoutingTest, SplitsOnlyPromptsThatExceedEveryEngine)
{
    Testing::checkProperty("a prompt is split only if it exceeds the largest engine", [] {
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
