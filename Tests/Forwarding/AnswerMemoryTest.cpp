#include "Forwarding/AnswerMemory.h"

#include "Property.h"

#include <memory>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::Forwarding;

namespace {

constexpr std::size_t limit = 100;

struct Answer {
    bool revoked = false;
    AnswerMemory::Share share;

    explicit Answer(AnswerMemory &memory)
        : share(memory, [this]() {
            revoked = true;
        })
    {
    }
};

}

TEST_GROUP(AnswerMemoryTest){};

// Guards against one upstream without an end that takes the memory of the answers of other callers.
TEST(AnswerMemoryTest, TheLargestAnswerYields)
{
    AnswerMemory memory(limit);
    Answer small(memory);
    Answer large(memory);
    CHECK(large.share.resize(60));
    CHECK(small.share.resize(41));
    CHECK(large.revoked);
    CHECK_FALSE(small.revoked);
    CHECK_FALSE(large.share.resize(1));
    LONGS_EQUAL(41, memory.usedBytes());
}

// Guards against taking away an answer that is complete, whose work would be lost.
TEST(AnswerMemoryTest, ACompleteAnswerIsKept)
{
    AnswerMemory memory(limit);
    Answer complete(memory);
    Answer other(memory);
    CHECK(complete.share.resize(90));
    complete.share.complete();
    CHECK_FALSE(other.share.resize(11));
    CHECK(other.revoked);
    CHECK_FALSE(complete.revoked);
}

// Guards against a limit for each answer that does not bound the process, and against memory that stays counted when an answer has ended.
TEST(AnswerMemoryTest, TheSumNeverExceedsTheLimit)
{
    Mangofall::Testing::checkProperty("all answers together keep the limit", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps) {
        AnswerMemory memory(limit);
        std::vector<std::unique_ptr<Answer>> answers(8);
        for (const auto &[index, bytes] : steps) {
            std::unique_ptr<Answer> &answer = answers[index % answers.size()];
            if (!answer || bytes == 0) {
                answer = bytes == 0 ? nullptr : std::make_unique<Answer>(memory);
            }
            if (answer) {
                const bool granted = answer->share.resize(bytes);
                RC_ASSERT(granted == !answer->revoked);
            }
            RC_ASSERT(memory.usedBytes() <= limit);
        }
        answers.clear();
        RC_ASSERT(memory.usedBytes() == 0U);
    });
}
