#include "Property.h"

#include "Admission/DispatchQueue.h"

#include <map>

using namespace Mangofall;

namespace {

QueuedAttempt makeAttempt(std::uint64_t sequence, const std::string &organisation, double weight, std::uint64_t tokens)
{
    QueuedAttempt attempt;
    attempt.attempt.sequence = sequence;
    attempt.organisation = OrganisationId(organisation);
    attempt.weight = weight;
    attempt.uncachedTokens = tokens;
    attempt.arrival = TimePoint(std::chrono::milliseconds(sequence));
    return attempt;
}

}

TEST_GROUP(DispatchQueueTest){};

// Guards against a queue that ignores the weights while attempts of several organisations wait.
TEST(DispatchQueueTest, ServesByWeight)
{
    Testing::checkProperty("the tokens taken from the queue are in proportion to the weights", [] {
        const int heavy = *rc::gen::inRange(1, 8);
        DispatchQueue queue(2'000);
        std::map<std::string, double> served;
        for (std::uint64_t sequence = 0; sequence < 1'000; ++sequence) {
            const bool first = sequence % 2 == 0;
            queue.push(makeAttempt(sequence, first ? "heavy" : "light", first ? heavy : 1, *rc::gen::inRange<std::uint64_t>(500, 2'000)));
        }
        while (served["heavy"] < 200'000) {
            const QueuedAttempt next = *queue.front(LengthClass::Short, 10'000);
            RC_ASSERT(queue.take(next.attempt).has_value());
            served[next.organisation.value()] += static_cast<double>(next.uncachedTokens) + 256;
        }
        RC_ASSERT(served["heavy"] >= heavy * (served["light"] - 5'000));
        RC_ASSERT(served["heavy"] <= heavy * (served["light"] + 5'000) + 5'000);
    });
}

// Guards against a full queue in which one organisation keeps out all others, and against evictions between organisations that
// all have their shares.
TEST(DispatchQueueTest, FullQueueYieldsToAnOrganisationBelowItsShare)
{
    DispatchQueue queue(4);
    for (std::uint64_t sequence = 0; sequence < 4; ++sequence) {
        queue.push(makeAttempt(sequence, "large", 1, 100));
    }
    CHECK(queue.full());
    LONGS_EQUAL(3, queue.findEvictionCandidate(makeAttempt(9, "small", 1, 100))->sequence);
    CHECK_FALSE(queue.findEvictionCandidate(makeAttempt(9, "large", 1, 100)).has_value());
    queue.remove(AttemptId{0, 0, 3});
    queue.remove(AttemptId{0, 0, 2});
    queue.push(makeAttempt(10, "small", 1, 100));
    queue.push(makeAttempt(11, "small", 1, 100));
    CHECK_FALSE(queue.findEvictionCandidate(makeAttempt(12, "small", 1, 100)).has_value());
}
