#include "Property.h"

#include "Base/AttemptId.h"

using namespace Mangofall;

TEST_GROUP(AttemptIdTest){};

// Guards against an id that changes on its way through a header.
TEST(AttemptIdTest, SurvivesFormattingAndParsing)
{
    Testing::checkProperty("attempt ids survive a round trip", [](std::uint64_t host, std::uint64_t incarnation, std::uint64_t sequence) {
        const AttemptId id{host, incarnation, sequence};
        RC_ASSERT(attemptIdFromString(toString(id)) == id);
    });
}

// Guards against accepting a truncated or extended id as another attempt's.
TEST(AttemptIdTest, RejectsOtherFormats)
{
    for (const char *text : {"", "1", "1-2", "1-2-", "1-2-3-", "1-2-3x", "-1-2-3", "1--3", "11111111111111111-2-3"}) {
        CHECK_TEXT(!attemptIdFromString(text).has_value(), text);
    }
}
