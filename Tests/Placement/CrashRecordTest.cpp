#include "Placement/CrashRecord.h"

#include "Property.h"

#include <deque>

using namespace Mangofall;
using Placement::CrashRecord;

TEST_GROUP(CrashRecordTest){};

// Guards against a request that crashes one upstream after the other.
TEST(CrashRecordTest, ARequestWithThreeBreaksIsNotSentAgain)
{
    CrashRecord record;
    const TimePoint now;
    record.recordBreak(7, now);
    record.recordBreak(7, now);
    CHECK(record.admit(7, now));
    record.recordBreak(7, now);
    CHECK_FALSE(record.admit(7, now));
    CHECK(record.admit(8, now));
}

// Guards against refusing harmless requests that ran while another request crashed the upstream.
TEST(CrashRecordTest, ACompletedRepetitionClearsTheRequest)
{
    CrashRecord record;
    const TimePoint now;
    record.recordBreak(7, now);
    record.recordBreak(7, now);
    record.recordCompletion(7);
    record.recordBreak(7, now);
    CHECK(record.admit(7, now));
}

// Guards against harmless requests that are refused for a minute because upstreams were down. The soak test met this with seed 52, where one caller
// repeated the same GET.
TEST(CrashRecordTest, AQuarantinedRequestGetsATrialAndACompletionClearsIt)
{
    CrashRecord record;
    TimePoint now;
    for (int breaks = 0; breaks < 3; ++breaks) {
        record.recordBreak(7, now);
    }
    CHECK(record.quarantineTime(7, now) > Duration::zero());
    now += record.quarantineTime(7, now);
    CHECK(record.admit(7, now));
    CHECK_FALSE(record.admit(7, now));
    record.recordCompletion(7);
    CHECK(record.admit(7, now));
}

// Guards against a request that crashes upstreams and is sent more than three times after it has been quarantined.
TEST(CrashRecordTest, ARequestThatCrashesUpstreamsGetsThreeTrialsOnly)
{
    CrashRecord record;
    TimePoint now;
    int sent = 0;
    for (int tries = 0; tries < 6'000; ++tries) {
        now += std::chrono::milliseconds(10);
        if (record.admit(7, now)) {
            ++sent;
            record.recordBreak(7, now);
        }
    }
    CHECK_EQUAL(6, sent);
}

// Guards against any timing of repetitions with which a harmful request is sent more than six times a minute.
TEST(CrashRecordTest, AHarmfulRequestIsSentAtMostSixTimesAMinute)
{
    Mangofall::Testing::checkProperty("a harmful request is sent at most six times a minute", [](const std::vector<std::uint16_t> &gaps) {
        CrashRecord record;
        TimePoint now;
        std::deque<TimePoint> sent;
        for (const std::uint16_t gap : gaps) {
            now += std::chrono::milliseconds(gap % 20'000);
            if (!record.admit(7, now)) {
                continue;
            }
            record.recordBreak(7, now);
            sent.push_back(now);
            while (sent.front() + std::chrono::seconds(60) <= now) {
                sent.pop_front();
            }
            RC_ASSERT(sent.size() <= 6U);
        }
    });
}
