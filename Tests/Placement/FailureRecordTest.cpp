#include "Placement/FailureRecord.h"

#include "Property.h"

using namespace Mangofall;
using Placement::FailureRecord;
using Placement::GrantOutcome;
using std::chrono::milliseconds;

TEST_GROUP(FailureRecordTest){};

// Guards against sending more work to an upstream that does not answer.
TEST(FailureRecordTest, ASilentUpstreamIsAvoidedAndComesBack)
{
    FailureRecord record;
    TimePoint now;
    record.record(GrantOutcome::Silent, now);
    CHECK(record.avoided(now));
    now += milliseconds(5000);
    CHECK_FALSE(record.avoided(now));
}

// Guards against a burst of requests at an upstream that is still down, as soon as the pause after its failure is over.
TEST(FailureRecordTest, AfterAFailureOneRequestProbes)
{
    FailureRecord record;
    TimePoint now;
    record.record(GrantOutcome::Unreachable, now);
    now += milliseconds(600);
    CHECK_FALSE(record.avoided(now));
    record.granted(now);
    CHECK(record.avoided(now));
    record.answers();
    CHECK_FALSE(record.avoided(now));
}

// Guards against shunning a sound upstream for a single error answer, which callers' own input may cause.
TEST(FailureRecordTest, OneErrorAnswerDoesNotAvoid)
{
    FailureRecord record;
    record.record(GrantOutcome::Failed, TimePoint());
    CHECK_FALSE(record.avoided(TimePoint()));
}

// Guards against a caller's leaving being held against the upstream.
TEST(FailureRecordTest, CancelledWorkSaysNothing)
{
    FailureRecord record;
    for (int count = 0; count < 100; ++count) {
        record.record(GrantOutcome::Cancelled, TimePoint());
    }
    CHECK_FALSE(record.avoided(TimePoint()));
    DOUBLES_EQUAL(0, record.failureShare(), 1e-9);
}

// Guards against an upstream that fails part of its requests going unnoticed while its health check is good.
TEST(FailureRecordTest, AHighShareOfErrorsAvoids)
{
    FailureRecord record;
    TimePoint now;
    bool avoided = false;
    for (int count = 0; count < 40; ++count) {
        record.record(count % 2 == 0 ? GrantOutcome::Failed : GrantOutcome::Completed, now);
        avoided = avoided || record.avoided(now);
        now += milliseconds(50);
    }
    CHECK(avoided);
}
