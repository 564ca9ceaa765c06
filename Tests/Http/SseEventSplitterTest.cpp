#include "Http/SseEventSplitter.h"

#include "Property.h"

#include <string>
#include <vector>

using namespace Mangofall;

TEST_GROUP(SseEventSplitterTest){};

// Guards against events that change, or are lost, when the network cuts them at any place.
TEST(SseEventSplitterTest, AnyCutYieldsTheSameEvents)
{
    Mangofall::Testing::checkProperty("events survive cuts", [](const std::vector<std::uint8_t> &cuts) {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 5\nid: 3\ndata: c\n\n";
        SseEventSplitter splitter;
        std::string joined;
        std::vector<std::uint64_t> ids;
        std::size_t position = 0;
        const auto drain = [&]() {
            while (const auto event = splitter.next()) {
                RC_ASSERT(event->wellFormed);
                joined += event->bytes;
                ids.push_back(event->id.value_or(0));
            }
        };
        for (const std::uint8_t cut : cuts) {
            splitter.append(stream.substr(position, cut % 7));
            position = std::min(stream.size(), position + cut % 7);
            drain();
        }
        splitter.append(stream.substr(position));
        drain();
        RC_ASSERT(joined == stream);
        RC_ASSERT(ids == (std::vector<std::uint64_t>{1, 2, 3}));
    });
}

// Guards against bytes that are no event being handed on as one.
TEST(SseEventSplitterTest, ForeignBytesAreNotWellFormed)
{
    SseEventSplitter splitter;
    splitter.append("\x01\x02garbage\n\n");
    CHECK_FALSE(splitter.next()->wellFormed);
}

// Guards against the start of an event being taken for a whole one.
TEST(SseEventSplitterTest, AnUnfinishedEventIsHeldBack)
{
    SseEventSplitter splitter;
    splitter.append("id: 1\ndata: a\n");
    CHECK_FALSE(splitter.next().has_value());
    CHECK_FALSE(splitter.pending().empty());
}
