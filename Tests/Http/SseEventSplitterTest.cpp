#include "Http/SseEventSplitter.h"

#include "Property.h"

#include <string>
#include <vector>

using namespace Mangofall;

TEST_GROUP(SseEventSplitterTest){};

// Guards against events that are changed or lost if the network splits the stream at an arbitrary byte.
TEST(SseEventSplitterTest, AnySplitYieldsTheSameEvents)
{
    Mangofall::Testing::checkProperty("events do not depend on where the stream is split", [](const std::vector<std::uint8_t> &splitLengths) {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 5\nid: 3\ndata: c\n\n";
        SseEventSplitter splitter;
        std::string joined;
        std::vector<std::uint64_t> ids;
        std::size_t position = 0;
        const auto readEvents = [&]() {
            while (const auto event = splitter.next()) {
                RC_ASSERT(event->wellFormed);
                joined += event->bytes;
                ids.push_back(event->id.value_or(0));
            }
        };
        for (const std::uint8_t splitLength : splitLengths) {
            splitter.append(stream.substr(position, splitLength % 7));
            position = std::min(stream.size(), position + splitLength % 7);
            readEvents();
        }
        splitter.append(stream.substr(position));
        readEvents();
        RC_ASSERT(joined == stream);
        RC_ASSERT(ids == (std::vector<std::uint64_t>{1, 2, 3}));
    });
}

// Guards against bytes that are not an event being forwarded as one.
TEST(SseEventSplitterTest, BytesThatAreNoEventAreNotWellFormed)
{
    SseEventSplitter splitter;
    splitter.append("\x01\x02garbage\n\n");
    CHECK_FALSE(splitter.next()->wellFormed);
}

// Guards against an incomplete event being returned as a complete one.
TEST(SseEventSplitterTest, AnIncompleteEventIsNotReturned)
{
    SseEventSplitter splitter;
    splitter.append("id: 1\ndata: a\n");
    CHECK_FALSE(splitter.next().has_value());
    CHECK_FALSE(splitter.pending().empty());
}
