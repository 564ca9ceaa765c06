#include "Property.h"

#include "Http/SseParser.h"

using namespace Mangofall;

TEST_GROUP(SseParserTest){};

// Guards against tokens that are lost or merged if an event is split between reads.
TEST(SseParserTest, EventsDoNotDependOnSplits)
{
    Testing::checkProperty("events do not depend on where the stream is split", [](std::uint8_t count, std::uint8_t step) {
        std::string text;
        for (int index = 0; index < count; ++index) {
            text += formatSseEvent(std::to_string(index), "token " + std::to_string(index));
        }
        SseParser parser;
        int received = 0;
        const std::size_t splitLength = 1U + step % 40U;
        for (std::size_t start = 0; start < text.size(); start += splitLength) {
            parser.append(std::string_view(text).substr(start, splitLength));
            while (const auto event = parser.next()) {
                RC_ASSERT(*event == "token " + std::to_string(received));
                ++received;
            }
        }
        RC_ASSERT(received == count);
        RC_ASSERT(parser.pendingBytes() == 0U);
    });
}

// Guards against misreading a stream whose lines end in CR LF, and against treating comments as data.
TEST(SseParserTest, AcceptsCarriageReturnsAndSkipsComments)
{
    SseParser parser;
    parser.append(": keep-alive\r\n\r\ndata: a\r\ndata: b\r\n\r\n");
    CHECK(parser.next() == "a\nb");
    CHECK_FALSE(parser.next().has_value());
}
