// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/RosterWriter.h"

#include <algorithm>

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::seconds;

namespace {

DataCentreRoster rosterOf(const std::vector<std::pair<std::string, HostState>> &hosts, std::uint64_t sequence)
{
    DataCentreRoster roster{.dataCentre = DataCentreId("poa"), .region = RegionId("sul"), .hosts = {}};
    for (const auto &[name, state] : hosts) {
        roster.hosts[HostId(name)] = {.host = HostId(name),
                                      .incarnation = 1,
                                      .sequence = sequence,
                                      .state = state,
                                      .dataCentre = roster.dataCentre,
                                      .region = roster.region,
                                      .address = {}};
    }
    return roster;
}

/// The store's key with compare-and-swap; a response may be lost after the write has taken effect.
struct Store {
    std::uint64_t version = 0;
    DataCentreRoster value;
    int writes = 0;

    void run(RosterWriter &writer, const RosterEvent &event, TimePoint now, bool loseAnswers)
    {
        for (const RosterAction &action : writer.handle(event, now)) {
            if (std::holds_alternative<ReadRoster>(action)) {
                run(writer, loseAnswers ? RosterEvent(RosterCallLost()) : RosterEvent(RosterRead{version, value}), now, loseAnswers);
            } else if (const auto *write = std::get_if<WriteRoster>(&action)) {
                const bool wins = write->expectedVersion == version;
                if (wins) {
                    ++version;
                    ++writes;
                    value = write->roster;
                }
                const RosterEvent answer = wins ? RosterEvent(RosterWritten{version}) : RosterEvent(RosterConflict());
                run(writer, loseAnswers ? RosterEvent(RosterCallLost()) : answer, now, loseAnswers);
            }
        }
    }
};

}

TEST_GROUP(RosterWriterTest){};

// Guards against a merge that depends on the order of claims, in which case hosts would keep different rosters.
TEST(RosterWriterTest, MergeIsCommutativeAndIdempotent)
{
    Testing::checkProperty("rosters merge to the same value in any order", [] {
        const auto some = [] {
            const auto states = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 5));
            DataCentreRoster roster;
            for (int index = 0; index < 4; ++index) {
                const auto part = rosterOf({{std::to_string(index), static_cast<HostState>(states[static_cast<std::size_t>(index)])}},
                                           *rc::gen::inRange<std::uint64_t>(1, 4));
                roster.hosts.insert(part.hosts.begin(), part.hosts.end());
            }
            return roster;
        };
        const DataCentreRoster one = some();
        const DataCentreRoster two = some();
        DataCentreRoster left = one;
        DataCentreRoster right = two;
        merge(left, two);
        merge(right, one);
        RC_ASSERT(left == right);
        RC_ASSERT(!merge(left, two));
    });
}

// Guards against a lost death when two hosts write with different views, answers are lost or writes collide; and against more than one
// write per change.
TEST(RosterWriterTest, StoreConvergesOnNewestClaims)
{
    Store store;
    TimePoint now{seconds(100)};
    DataCentreRoster view = rosterOf({{"a", HostState::Alive}, {"b", HostState::Alive}, {"c", HostState::Alive}}, 5);
    const HostId writer = RosterWriter::writerOf(view);
    DataCentreRoster after = view;
    after.hosts[writer].state = HostState::Dead;
    const HostId other = RosterWriter::writerOf(after);
    RosterWriter first(writer, DataCentreId("poa"), RosterWriterSettings());
    RosterWriter second(other, DataCentreId("poa"), RosterWriterSettings());
    store.run(first, RosterChanged{view}, now, false);
    DataCentreRoster newer = view;
    newer.hosts[other].state = HostState::Suspect;
    store.run(second, RosterChanged{newer}, now, false);
    LONGS_EQUAL_TEXT(1, store.writes, "only the data centre's writer writes");
    now += seconds(10);
    store.run(second, RosterChanged{after}, now, true);
    store.run(first, RosterTick(), now, false);
    for (int second10 = 0; second10 < 3; ++second10) {
        now += seconds(10);
        store.run(second, RosterTick(), now, second10 == 0);
    }
    CHECK(store.value.hosts.at(writer).state == HostState::Dead);
    LONGS_EQUAL(2, store.writes);
}
