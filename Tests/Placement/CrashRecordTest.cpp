#include "Placement/CrashRecord.h"

#include "Property.h"

#include <deque>

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
    CHECK(record.admit(7, now));
    record.broken(7, now);
    CHECK_FALSE(record.admit(7, now));
    CHECK(record.admit(8, now));
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
    CHECK(record.admit(7, now));
}

// Guards against innocent requests that are refused for a minute because upstreams were down: the soak's seed 52, the same GET of one caller.
TEST(CrashRecordTest, AHeldRequestIsTriedAgainAndAnInnocentOneComesBack)
{
    CrashRecord record;
    TimePoint now;
    for (int breaks = 0; breaks < 3; ++breaks) {
        record.broken(7, now);
    }
    CHECK(record.heldFor(7, now) > Duration::zero());
    now += record.heldFor(7, now);
    CHECK(record.admit(7, now));
    CHECK_FALSE(record.admit(7, now));
    record.completed(7);
    CHECK(record.admit(7, now));
}

// Guards against a request that crashes upstreams and reaches them more than three times after that is known.
TEST(CrashRecordTest, ARequestThatCrashesUpstreamsGetsThreeTrialsOnly)
{
    CrashRecord record;
    TimePoint now;
    int sent = 0;
    for (int tries = 0; tries < 6'000; ++tries) {
        now += std::chrono::milliseconds(10);
        if (record.admit(7, now)) {
            ++sent;
            record.broken(7, now);
        }
    }
    CHECK_EQUAL(6, sent);
}

// Guards against any timing of repetitions that lets a harmful request reach more than six upstreams a minute.
TEST(CrashRecordTest, AHarmfulRequestReachesSixUpstreamsAMinuteAtMost)
{
    Mangofall::Testing::checkProperty("a harmful request is sent six times a minute at most", [](const std::vector<std::uint16_t> &gaps) {
        CrashRecord record;
        TimePoint now;
        std::deque<TimePoint> sent;
        for (const std::uint16_t gap : gaps) {
            now += std::chrono::milliseconds(gap % 20'000);
            if (!record.admit(7, now)) {
                continue;
            }
            record.broken(7, now);
            sent.push_back(now);
            while (sent.front() + std::chrono::seconds(60) <= now) {
                sent.pop_front();
            }
            RC_ASSERT(sent.size() <= 6U);
        }
    });
}
