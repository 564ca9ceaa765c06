#include "Feed/EraTransition.h"

#include "Feed/FeedFixtures.h"

#include "Property.h"

#include <map>
#include <set>

using namespace Mangofall;
using namespace Mangofall::Feed;
using std::chrono::seconds;

namespace {

const TimePoint start = TimePoint(seconds(100));

std::map<std::string, StoreItem> itemsOf(const std::vector<StoreItem> &items)
{
    std::map<std::string, StoreItem> result;
    for (const StoreItem &item : items) {
        result[item.key] = item;
    }
    return result;
}

/// A transition with what its observer knows.
struct Told {
    FakeRestorePolicy policy;
    EraTransition transition{policy};
    std::map<std::string, std::string> values;

    void take(const EraChanges &changes)
    {
        for (const StoreItem &item : changes.reported) {
            if (item.removed) {
                values.erase(item.key);
            } else {
                values[item.key] = item.value;
            }
        }
    }

    void change(const StoreItem &item, TimePoint now)
    {
        take(transition.changed(item, now));
    }

    void restore(const std::vector<StoreItem> &items, std::uint64_t copyRevision, TimePoint now)
    {
        take(transition.restored({itemsOf(items), copyRevision, copyRevision}, now));
    }

    bool knows(const std::string &key, const std::string &value) const
    {
        const auto known = values.find(key);
        return known != values.end() && known->second == value;
    }
};

}

TEST_GROUP(EraTransitionTest){};

// Guards against requests to an upstream that a host knows to be leaving, because the copy still has it as ready.
TEST(EraTransitionTest, AnOlderValueIsHeldBackUntilTheKeyIsWritten)
{
    Told told;
    told.change(written("u", 50, "-"), start);
    told.restore({written("u", 10, "r1")}, 20, start);
    CHECK(told.knows("u", "-"));
    LONGS_EQUAL(1, told.transition.held());
    told.change(written("u", 21, "r2"), start + seconds(1));
    CHECK(told.knows("u", "r2"));
    LONGS_EQUAL(0, told.transition.held());
}

// Guards against a view that never agrees with the store again.
TEST(EraTransitionTest, WhatIsHeldIsReleasedInTime)
{
    Told told;
    told.change(written("u", 50, "r"), start);
    told.change(removal("u", 51), start);
    told.restore({written("u", 10, "r")}, 20, start);
    told.take(told.transition.expire(start + FakeRestorePolicy::holdTime - seconds(1)));
    CHECK_FALSE(told.values.contains("u"));
    told.take(told.transition.expire(start + FakeRestorePolicy::holdTime));
    CHECK(told.knows("u", "r"));
}

// Guards against a leaving upstream that gets requests because its revision in the restored store is smaller than the known one.
TEST(EraTransitionTest, AProtectiveValueOfTheCopyIsReportedAtOnce)
{
    Told told;
    told.change(written("u", 50, "r"), start);
    told.restore({written("u", 10, "-")}, 20, start);
    CHECK(told.knows("u", "-"));
}

// Guards against items that are taken for old ones although they were written between the restore and the end of the read.
TEST(EraTransitionTest, AWriteDuringTheReadCountsAsAWrite)
{
    Told told;
    told.change(written("u", 50, "-"), start);
    told.restore({written("u", 21, "r2")}, 20, start);
    CHECK(told.knows("u", "r2"));
}

// Guards against a removal that is forgotten because the first copy agreed with it: the second one is older.
TEST(EraTransitionTest, ARemovalOutlivesACopyThatAgrees)
{
    Told told;
    told.change(written("u", 50, "r"), start);
    told.change(removal("u", 51), start);
    told.restore({}, 60, start);
    told.restore({written("u", 10, "r")}, 20, start + seconds(1));
    CHECK_FALSE(told.values.contains("u"));
}

// Guards against a host that goes back to an older configuration, with revoked keys.
TEST(EraTransitionTest, AnOlderConfigurationNeedsAWriteAfterTheBound)
{
    Told told;
    told.change(written("config", 50, "7"), start);
    told.restore({written("config", 10, "5")}, 20, start);
    told.change(written("config", 21, "6"), start + seconds(1));
    CHECK(told.knows("config", "7"));
    told.take(told.transition.expire(start + seconds(10)));
    CHECK(told.knows("config", "6"));
    told.restore({written("config", 10, "5")}, 20, start + seconds(11));
    told.take(told.transition.expire(start + std::chrono::hours(1)));
    CHECK(told.knows("config", "6"));
}

// Guards against any order of changes, copies, restores and pauses after which a host forgets what it has acknowledged, or holds it for ever.
TEST(EraTransitionTest, AcknowledgedRemovalsHoldInAnyOrderOfEvents)
{
    Testing::checkProperty("a leaving upstream stays leaving until a write or the bound", []() {
        Told told;
        TimePoint now = start;
        TimePoint restoredAt = start - std::chrono::hours(1);
        std::map<std::string, StoreItem> store;
        std::map<std::string, StoreItem> copy;
        std::set<std::string> writtenSince; // Keys that were written after the copy and delivered.
        std::uint64_t revision = 1;
        std::uint64_t copyRevision = 1;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const std::map<std::string, std::string> before = told.values;
            const std::string key = "u" + std::to_string(*rc::gen::inRange(0, 3));
            const int event = *rc::gen::inRange(0, 6);
            if (event <= 1) {
                ++revision;
                const StoreItem item = written(key, revision, event == 0 ? "-" : "r" + std::to_string(revision));
                store[key] = item;
                writtenSince.insert(key);
                told.change(item, now);
            } else if (event == 2 && store.erase(key) > 0) {
                writtenSince.insert(key);
                told.change(removal(key, ++revision), now);
            } else if (event == 3) {
                copy = store;
                copyRevision = revision;
            } else if (event == 4) {
                store = copy;
                revision = copyRevision;
                writtenSince.clear();
                restoredAt = now;
                told.take(told.transition.restored({store, copyRevision, revision}, now));
            } else {
                now += std::chrono::milliseconds(*rc::gen::inRange(1, 6000));
                told.take(told.transition.expire(now));
            }
            for (const auto &[name, value] : before) {
                const bool free = writtenSince.contains(name) || now >= restoredAt + FakeRestorePolicy::holdTime;
                RC_ASSERT(value != "-" || free || told.knows(name, "-"));
            }
        }
        told.take(told.transition.expire(now + FakeRestorePolicy::holdTime));
        std::map<std::string, std::string> expected;
        for (const auto &[key, item] : store) {
            expected[key] = item.value;
        }
        RC_ASSERT(told.values == expected);
        RC_ASSERT(told.transition.held() == 0U);
    });
}
