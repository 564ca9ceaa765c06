#include "ForwardingHost.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using namespace Mangofall::Testing;
using Placement::GrantOutcome;

namespace {

constexpr std::size_t blockBytes = 64UL * 1024;
// Twice as much as the largest whole answer that is accepted, and more than the sockets hold.
constexpr std::size_t endlessBlocks = 1024;
constexpr std::size_t maxBlocksOfWholeAnswer = 512;
// An upstream that sends no answer is ended after a small part of that; the sockets hold the rest.
constexpr std::size_t maxBlocksOfNoAnswer = 200;

const std::string signedHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\n";
const std::string chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";

// Bytes that never become an answer: where they begin, and what comes again and again.
struct EndlessBytes {
    const char *name;
    std::string start;
    std::string unit;
};

std::vector<EndlessBytes> noAnswers()
{
    return {
        {"status line", "HTTP/1.1 200 ", "x"},
        {"header line", signedHead + "Long: ", "x"},
        {"header fields", signedHead, "Field: value\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunk size", chunkedHead, "x"},
        {"zeros of a chunk size", chunkedHead, "0"},
        {"chunk extension", chunkedHead + "5;", "x"},
        {"trailer line", chunkedHead + "0\r\nLong: ", "x"},
        {"trailers", chunkedHead + "0\r\n", "Field: value\r\n"},
    };
}

std::string repeated(const std::string &unit)
{
    std::string block;
    while (block.size() < blockBytes) {
        block += unit;
    }
    return block;
}

ScriptedUpstream &addEndless(Host &host, const std::string &start, const std::string &unit)
{
    ScriptedUpstream &upstream = host.add(start);
    upstream.block = repeated(unit);
    upstream.blockLimit = endlessBlocks;
    return upstream;
}

}

TEST_GROUP(EndlessAnswerTest){};

// Guards against a host that keeps bytes which are no answer until its memory is used up.
TEST(EndlessAnswerTest, BytesThatNeverBecomeAnAnswerAreGivenUp)
{
    for (const char *path : {"/order/1", "/once/1"}) {
        for (const EndlessBytes &bytes : noAnswers()) {
            Host host;
            ScriptedUpstream &endless = addEndless(host, bytes.start, bytes.unit);
            const std::string answer = host.call("POST", path);
            CHECK_TEXT(endless.blocksSent < maxBlocksOfNoAnswer, bytes.name);
            CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), bytes.name);
            CHECK_TEXT(host.placement.outcomes == std::vector{GrantOutcome::Malformed}, bytes.name);
        }
    }
}

// Guards against a whole answer without an end that takes the memory of the host, with and without chunks.
TEST(EndlessAnswerTest, AWholeAnswerWithoutAnEndIsGivenUp)
{
    const std::vector<EndlessBytes> answers{
        {"body", signedHead + "\r\n", "x"},
        {"chunks", chunkedHead, "100\r\n" + std::string(256, 'x') + "\r\n"},
        {"chunks with extensions", chunkedHead, "1;" + std::string(4000, 'x') + "\r\nb\r\n"},
    };
    for (const EndlessBytes &bytes : answers) {
        Host host;
        ScriptedUpstream &endless = addEndless(host, bytes.start, bytes.unit);
        const std::string answer = host.call("POST", "/order/1");
        CHECK_TEXT(endless.blocksSent < maxBlocksOfWholeAnswer, bytes.name);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), bytes.name);
    }
}

// Guards against an event without an end that takes the memory of the host, and against one that is searched again from its start with each part.
TEST(EndlessAnswerTest, AnEventWithoutAnEndIsGivenUp)
{
    for (const std::string &unit : {std::string("x"), std::string("data: x\n")}) {
        Host host;
        ScriptedUpstream &endless = addEndless(host, signedHead + "\r\n" + event(1) + "id: 2\ndata: ", unit);
        const std::string answer = host.call("POST", "/once/1");
        CHECK(endless.blocksSent < maxBlocksOfNoAnswer);
        CHECK(contains(answer, event(1)));
        CHECK_FALSE(contains(answer, "0\r\n\r\n"));
        CHECK(host.placement.outcomes == std::vector{GrantOutcome::Malformed});
    }
}
