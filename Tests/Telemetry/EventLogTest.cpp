#include "Telemetry/EventLog.h"
#include "Telemetry/DescriptorSink.h"

#include "Property.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

using namespace Mangofall;

namespace {

class RecordingSink final : public LineSink
{
public:
    std::vector<std::string> lines;
    bool accepts = true;

    bool write(std::string_view line) override
    {
        if (accepts) {
            lines.emplace_back(line);
        }
        return accepts;
    }
};

struct Pipe {
    std::array<int, 2> ends{};

    Pipe()
    {
        CHECK_EQUAL(0, ::pipe(ends.data()));
    }

    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
};

}

TEST_GROUP(EventLogTest){};

// Guards against values, such as paths and header values of callers, that make a line invalid JSON.
TEST(EventLogTest, ValuesAreEscaped)
{
    RecordingSink sink;
    EventLog log("h", 10, sink);
    log.write("e", {{"path", "a\"b\\c\n\x01"}});
    CHECK(sink.lines.front().find(R"("path":"a\"b\\c\u000a\u0001")") != std::string::npos);
    CHECK(sink.lines.front().ends_with("}\n"));
}

// Guards against an unbounded volume of log lines under load, and against dropped lines that are not counted.
TEST(EventLogTest, LinesAboveTheRateLimitAreCounted)
{
    RecordingSink sink;
    EventLog log("h", 2, sink);
    for (int count = 0; count < 100; ++count) {
        log.write("e", {});
    }
    CHECK(sink.lines.size() <= 11);
    CHECK(log.droppedLines() >= 89);
}

// Guards against a process that blocks because nobody reads its output; the pipe is never read here.
TEST(EventLogTest, BlockedOutputDropsLinesInsteadOfWaiting)
{
    Pipe pipe;
    DescriptorSink sink(pipe.ends[1], 64UL * 1024);
    const std::string line(1000, 'x');
    int dropped = 0;
    for (int count = 0; count < 1000; ++count) {
        dropped += sink.write(line) ? 0 : 1;
        sink.flush();
    }
    CHECK(dropped > 0);
}

// Guards against lines that are altered or lost although the reader keeps up.
TEST(EventLogTest, ReaderGetsEveryLine)
{
    Pipe pipe;
    {
        DescriptorSink sink(pipe.ends[1], 64UL * 1024);
        CHECK(sink.write("one\n"));
        CHECK(sink.write("two\n"));
    }
    std::array<char, 64> text{};
    const ssize_t count = ::read(pipe.ends[0], text.data(), text.size());
    STRCMP_EQUAL("one\ntwo\n", std::string(text.data(), static_cast<std::size_t>(count)).c_str());
}
