#include "Property.h"

#include "Base/ErrorAnswer.h"

#include <set>

using namespace Mangofall;

TEST_GROUP(ErrorAnswerTest){};

// Guards against a table row that is missing or at the index of another kind.
TEST(ErrorAnswerTest, EveryKindHasItsOwnName)
{
    std::set<std::string_view> names;
    for (int value = 0; value < errorKindCount; ++value) {
        const ErrorAnswer &answer = errorAnswer(static_cast<ErrorKind>(value));
        CHECK_TEXT(!answer.name.empty(), "a kind has no name");
        CHECK_TEXT(names.insert(answer.name).second, "two kinds share a name");
        CHECK_TEXT(value == 0 || (answer.httpStatus >= 400 && answer.httpStatus < 600), "an error has a success status");
    }
    CHECK(errorAnswer(ErrorKind::Internal).name == "internal");
    CHECK(errorAnswer(ErrorKind::OrderUnknown).name == "order_unknown");
}

// Guards against an answer that reports "not run" although bytes were sent to an upstream.
TEST(ErrorAnswerTest, NeverReportsNotRunAfterBytesWereSent)
{
    for (int value = 0; value < errorKindCount; ++value) {
        CHECK_FALSE(reportsNotRun(static_cast<ErrorKind>(value), true));
    }
    CHECK_FALSE(reportsNotRun(ErrorKind::OrderUnknown, false));
    CHECK_TRUE(reportsNotRun(ErrorKind::QueueFull, false));
}
