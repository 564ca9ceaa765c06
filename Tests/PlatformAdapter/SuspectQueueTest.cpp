#include "SuspectQueue.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Platform;
using Placement::SuspectState;

namespace {

const SuspectState twoCrashes{7, {11, 12}, {}, 0, 0};
const SuspectState threeCrashes{7, {11, 12, 13}, {}, 0, 0};

}

TEST_GROUP(SuspectQueueTest){};

// Guards against a state that changes on its way through the store.
TEST(SuspectQueueTest, AStateIsReadAsItWasWritten)
{
    const SuspectState state{0xf000000000000001, {1, 0xffffffffffffffff}, {3}, 2, 1};
    const std::optional<SuspectState> read = decodeSuspect(Placement::suspectName(state.suspect), encodeSuspect(state));
    CHECK(read == state);
}

// Guards against a process that ends, or a suspect that is invented, because of an entry by another writer.
TEST(SuspectQueueTest, EntriesThatCannotBeReadAreRefused)
{
    CHECK_FALSE(decodeSuspect("7", "[]").has_value());
    CHECK_FALSE(decodeSuspect("7", "{").has_value());
    CHECK_FALSE(decodeSuspect("7x", "{}").has_value());
    CHECK_FALSE(decodeSuspect("", "{}").has_value());
    CHECK_FALSE(decodeSuspect("7", R"({"crashes":["a"]})").has_value());
    CHECK(decodeSuspect("7", R"({"crashes":1,"trials":-1,"cleared_trials":99999999999})").has_value());
}

// Guards against a write for each request that was near a crash.
TEST(SuspectQueueTest, ASuspectWithOneCrashIsNotWritten)
{
    SuspectQueue queue;
    queue.changed({7, {11}, {}, 0, 0});
    CHECK_FALSE(queue.next().has_value());
    queue.changed(twoCrashes);
    CHECK(queue.next() == twoCrashes);
}

// Guards against a harmless request that is held back again after a restart of all hosts, because its clearance was not written.
TEST(SuspectQueueTest, AClearanceIsWrittenIfTheStoreHoldsTheSuspect)
{
    SuspectQueue queue;
    const SuspectState cleared{7, {}, {11, 12, 13}, 0, 0};
    queue.changed(cleared);
    CHECK_FALSE(queue.next().has_value());
    queue.listed(threeCrashes, threeCrashes);
    queue.changed(cleared);
    CHECK(queue.next() == cleared);
}

// Guards against a crash that is lost because two hosts wrote the same suspect at the same time.
TEST(SuspectQueueTest, AWriteThatWasReplacedIsRepeated)
{
    SuspectQueue queue;
    queue.changed(twoCrashes);
    queue.written(twoCrashes);
    CHECK_FALSE(queue.next().has_value());
    queue.listed({7, {11, 13}, {}, 0, 0}, threeCrashes);
    CHECK(queue.next() == threeCrashes);
    queue.written(threeCrashes);
    queue.listed(threeCrashes, threeCrashes);
    CHECK_FALSE(queue.next().has_value());
}

// Guards against a change that is lost because it came while an earlier one was written.
TEST(SuspectQueueTest, AChangeDuringAWriteIsWrittenNext)
{
    SuspectQueue queue;
    queue.changed(twoCrashes);
    queue.changed(threeCrashes);
    queue.written(twoCrashes);
    CHECK(queue.next() == threeCrashes);
}

// Guards against suspects that are forgotten with the next restart of all hosts because the store was restored from a copy without them.
TEST(SuspectQueueTest, WhatThisHostWroteIsWrittenAgainAfterARestore)
{
    SuspectQueue queue;
    queue.changed(twoCrashes);
    queue.written(twoCrashes);
    queue.changed({8, {21, 22}, {}, 0, 0});
    queue.listed({8, {21, 22}, {}, 0, 0}, {8, {21, 22}, {}, 0, 0});
    CHECK_FALSE(queue.next().has_value());
    queue.listed(threeCrashes, threeCrashes); // Another host knew more.
    queue.storeRestored();
    CHECK(queue.next() == threeCrashes);
    queue.written(threeCrashes);
    CHECK_FALSE(queue.next().has_value());
}

// Guards against a held part that is not stored for long, because the other parts of long prompts are written first.
TEST(SuspectQueueTest, TheSuspectWithTheMostCrashesIsWrittenFirst)
{
    SuspectQueue queue;
    for (Placement::SuspectId suspect = 1; suspect < 1'000; ++suspect) {
        queue.changed({suspect, {11, 12}, {}, 0, 0});
    }
    const SuspectState held{2'000, {11, 12, 13}, {}, 0, 0};
    queue.changed(held);
    CHECK(queue.next() == held);
}

// Guards against two writes for each part of a long prompt that a crash broke off and the next request has cleared.
TEST(SuspectQueueTest, ASuspectThatIsClearedBeforeItsTurnIsNotWritten)
{
    SuspectQueue queue;
    queue.changed(twoCrashes);
    queue.changed({7, {}, {11, 12}, 0, 0});
    CHECK_FALSE(queue.next().has_value());
    CHECK(queue.empty());
}

// Guards against a sound part that is held back after a restart of all hosts, because it was cleared while its crashes were being written.
TEST(SuspectQueueTest, AClearanceDuringAWriteIsWrittenNext)
{
    SuspectQueue queue;
    queue.changed(twoCrashes);
    CHECK(queue.next() == twoCrashes);
    const SuspectState cleared{7, {}, {11, 12}, 0, 0};
    queue.changed(cleared);
    queue.written(twoCrashes);
    CHECK(queue.next() == cleared);
}
