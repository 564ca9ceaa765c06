#include "ForwardingHost.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using namespace Mangofall::Testing;
using Placement::GrantOutcome;

namespace {

constexpr std::chrono::milliseconds byteInterval{20};
constexpr std::size_t bytesOfAnswer = 75;
const std::string shortTimeout = "Timeout-Ms: 300\r\n";
const std::string signedHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\n";

// Sends \p unit again and again, in all much longer than the short timeout, and then the end.
ScriptedUpstream &addSlow(Host &host, const std::string &start, const std::string &unit, const std::string &end)
{
    ScriptedUpstream &upstream = host.add(start);
    upstream.block = unit;
    upstream.blockLimit = bytesOfAnswer;
    upstream.pause = byteInterval;
    upstream.rest = end;
    return upstream;
}

}

TEST_GROUP(SlowAnswerTest){};

// Guards against an order that is answered long after its timeout, or never, because each part of its answer lets the time begin anew.
TEST(SlowAnswerTest, AnAnswerThatComesAByteNowAndThenEndsAtTheDeadline)
{
    struct Case {
        std::string start;
        std::string unit;
        std::string end;
    };
    const std::string chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<Case> cases{
        {signedHead + "Long: ", "x", "\r\nContent-Length: 0\r\n\r\n"},
        {signedHead + "\r\n", "x", "x"},
        {signedHead + "Content-Length: 76\r\n\r\n", "x", "x"},
        {chunkedHead, "1\r\nx\r\n", "0\r\n\r\n"},
        {chunkedHead, "0", "0\r\n\r\n"},
        {chunkedHead + "0\r\nLong: ", "x", "\r\n\r\n"},
    };
    for (const Case &slow : cases) {
        Host host;
        addSlow(host, slow.start, slow.unit, slow.end);
        const std::string answer = host.call("POST", "/order/1", shortTimeout);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 504"), (slow.start + slow.unit).c_str());
        CHECK_TEXT(host.placement.outcomes == std::vector{GrantOutcome::Silent}, (slow.start + slow.unit).c_str());
    }
}

// Guards against a stream that never ends, and against one that is ended as complete, because bytes come that complete no event.
TEST(SlowAnswerTest, AStreamOfBytesWithoutEventsEndsAtTheDeadline)
{
    Host host;
    addSlow(host, signedHead + "\r\n" + event(1) + "id: 2\ndata: ", "x", "\n\n");
    const std::string answer = host.call("POST", "/once/1", shortTimeout);
    CHECK(contains(answer, event(1)));
    CHECK_FALSE(contains(answer, "id: 2"));
    CHECK_FALSE(contains(answer, "0\r\n\r\n"));
}

// Guards against a stream that waits for a stalled upstream, which sends bytes but no event, although another upstream could go on with it.
TEST(SlowAnswerTest, AStreamOfBytesWithoutEventsGoesOnElsewhere)
{
    Host host;
    addSlow(host, signedHead + "\r\n" + event(1) + "id: 2\ndata: ", "x", "\n\n");
    ScriptedUpstream &second = host.add(streamHead + chunk(event(2)) + "0\r\n\r\n");
    const std::string answer = host.call("POST", "/stream/1");
    LONGS_EQUAL(1, second.requests().size());
    CHECK(contains(answer, event(2)));
    CHECK(contains(answer, "0\r\n\r\n"));
}
