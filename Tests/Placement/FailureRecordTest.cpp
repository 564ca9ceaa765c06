#include "Placement/FailureRecord.h"

#include "Property.h"

using namespace Mangofall;
using Placement::FailureRecord;
using Placement::GrantOutcome;
using std::chrono::milliseconds;

TEST_GROUP(FailureRecordTest){};

// Guards against sending more requests to an upstream that does not answer.
TEST(FailureRecordTest, ASilentUpstreamIsAvoidedForALimitedTime)
{
    FailureRecord record;
    TimePoint now;
    record.record(GrantOutcome::Silent, now);
    CHECK(record.avoided(now));
    now += milliseconds(5000);
    CHECK_FALSE(record.avoided(now));
}

// Guards against sending a burst of requests to an upstream that is still down as soon as the pause after its failure is over.
TEST(FailureRecordTest, AfterAFailureOneRequestIsSentAsAProbe)
{
    FailureRecord record;
    TimePoint now;
    record.record(GrantOutcome::Unreachable, now);
    now += milliseconds(600);
    CHECK_FALSE(record.avoided(now));
    record.granted(now);
    CHECK(record.avoided(now));
    record.responded();
    CHECK_FALSE(record.avoided(now));
}

// Guards against avoiding a healthy upstream because of a single error answer, which the caller's input may have caused.
TEST(FailureRecordTest, OneErrorAnswerDoesNotMakeTheUpstreamAvoided)
{
    FailureRecord record;
    record.record(GrantOutcome::Failed, TimePoint());
    CHECK_FALSE(record.avoided(TimePoint()));
}

// Guards against counting requests that callers cancelled as failures of the upstream.
TEST(FailureRecordTest, CancelledRequestsDoNotCount)
{
    FailureRecord record;
    for (int count = 0; count < 100; ++count) {
        record.record(GrantOutcome::Cancelled, TimePoint());
    }
    CHECK_FALSE(record.avoided(TimePoint()));
    DOUBLES_EQUAL(0, record.failureShare(), 1e-9);
}

// Guards against missing an upstream that fails some of its requests while its health check succeeds.
TEST(FailureRecordTest, AHighShareOfErrorsMakesTheUpstreamAvoided)
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
