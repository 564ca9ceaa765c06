#include "Placement/CrashRecord.h"

#include "Property.h"

using namespace Mangofall;
using Placement::CrashRecord;

TEST_GROUP(CrashRecordTest){};

// Guards against a request that takes down one upstream after the other.
TEST(CrashRecordTest, ARequestThatBrokeThreeTimesIsNotSentAgain)
{
    CrashRecord record;
    const TimePoint now;
    record.broken(7, now);
    record.broken(7, now);
    CHECK(record.mayRun(7, now));
    record.broken(7, now);
    CHECK_FALSE(record.mayRun(7, now));
    CHECK(record.mayRun(8, now));
}

// Guards against refusing requests that only ran beside one that crashed the upstream.
TEST(CrashRecordTest, ACompletedRepetitionClearsTheRequest)
{
    CrashRecord record;
    const TimePoint now;
    record.broken(7, now);
    record.broken(7, now);
    record.completed(7);
    record.broken(7, now);
    CHECK(record.mayRun(7, now));
}
