#include "Property.h"

#include "Base/AttemptId.h"

using namespace Mangofall;

TEST_GROUP(AttemptIdTest){};

// Guards against an id that changes when it is formatted into a header and parsed again.
TEST(AttemptIdTest, FormattedIdIsParsedUnchanged)
{
    Testing::checkProperty("attempt ids are unchanged by formatting and parsing", [](std::uint64_t host, std::uint64_t incarnation, std::uint64_t sequence) {
        const AttemptId id{host, incarnation, sequence};
        RC_ASSERT(attemptIdFromString(toString(id)) == id);
    });
}

// Guards against a truncated or extended id that is accepted as the id of another attempt.
TEST(AttemptIdTest, RejectsOtherFormats)
{
    for (const char *text : {"", "1", "1-2", "1-2-", "1-2-3-", "1-2-3x", "-1-2-3", "1--3", "11111111111111111-2-3"}) {
        CHECK_TEXT(!attemptIdFromString(text).has_value(), text);
    }
}
