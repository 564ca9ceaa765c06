#include "ForwardingHost.h"

using namespace Mangofall;
using namespace Mangofall::Forwarding;
using namespace Mangofall::Testing;
using Placement::GrantOutcome;

namespace {

// Does not fit into the buffers of a connection, so that the request is still being written when the upstream resets the connection.
constexpr std::size_t longUploadBytes = 16'000'000;
// The order in which the error and the data of a connection are seen could depend on chance.
constexpr int repetitions = 5;

const std::string signedFields = "Id: 7\r\nSigned: s\r\n";
const std::string headWithoutLength = "HTTP/1.1 200 OK\r\n" + signedFields + "\r\n";

std::string upload()
{
    return std::string(longUploadBytes, 'u');
}

// Answers as soon as it has the header of a request, and resets the connection while the request is still being written.
ScriptedUpstream &addEarly(Host &host, const std::string &answer, const std::string &rest = std::string())
{
    ScriptedUpstream &upstream = host.add(answer);
    upstream.resets = true;
    upstream.rest = rest;
    upstream.pause = std::chrono::milliseconds(60);
    return upstream;
}

bool looksComplete(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && contains(answer, "0\r\n\r\n");
}

}

TEST_GROUP(CompleteAnswerTest){};

// Guards against passing on a part of an answer as a whole one: the failed write consumes the socket's error, and reading then ends as on an orderly close
// (5 of 192 callers). The request may have run, so it is not sent again.
TEST(CompleteAnswerTest, APartOfAnEarlyAnswerIsNoAnswer)
{
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        for (const std::string &rest : {std::string(), std::string(200, 'r')}) {
            Host host;
            addEarly(host, headWithoutLength + std::string(400, 'p'), rest);
            ScriptedUpstream &second = host.add(wholeAnswer(200, signedFields, "hello"));
            const std::string answer = host.call("POST", "/order/1", {}, upload());
            CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), answer.substr(0, 300).c_str());
            CHECK(host.placement.outcomes == std::vector{GrantOutcome::Broken});
            LONGS_EQUAL(0, second.requests().size());
        }
    }
}

// Guards against a request that may be repeated, but gets the part of an early answer instead of the whole answer of another upstream.
TEST(CompleteAnswerTest, AnIdempotentRequestIsRetriedAfterAPartOfAnAnswer)
{
    Host host;
    addEarly(host, headWithoutLength + std::string(400, 'p'));
    host.add(wholeAnswer(200, signedFields, "hello"));
    const std::string answer = host.call("GET", "/safe/1", {}, upload());
    CHECK(contains(answer, "hello"));
    LONGS_EQUAL(2, host.placement.submitted);
}

// Guards against a stream that looks complete to the caller although its upstream reset the connection between two events, and against one that is not resumed.
TEST(CompleteAnswerTest, AStreamThatIsResetDuringTheUploadIsNotComplete)
{
    for (const std::string &rest : {std::string(), event(2)}) {
        Host once;
        addEarly(once, headWithoutLength + event(1), rest);
        CHECK_FALSE(looksComplete(once.call("POST", "/once/1", {}, upload())));
        CHECK(once.placement.outcomes == std::vector{GrantOutcome::Broken});
        Host resumed;
        addEarly(resumed, headWithoutLength + event(1), rest);
        resumed.add(streamHead + chunk(event(2) + event(3)) + "0\r\n\r\n");
        const std::string answer = resumed.call("POST", "/stream/1", {}, upload());
        for (int id = 1; id <= 3; ++id) {
            LONGS_EQUAL(1, count(answer, event(id)));
        }
        CHECK(looksComplete(answer));
    }
}

// Guards against throwing away an early answer that is whole, such as the refusal of a request that is too large.
TEST(CompleteAnswerTest, AnEarlyAnswerWithALengthIsRelayed)
{
    Host host;
    addEarly(host, wholeAnswer(413, signedFields, "too large"));
    const std::string answer = host.call("POST", "/order/1", {}, upload());
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(contains(answer, "too large"));
}

// Guards against passing on a status line that is no final status of HTTP (status 000 was passed on 422 and 435 times of about 690).
TEST(CompleteAnswerTest, AStatusOutsideOfHttpIsNoAnswer)
{
    for (const char *status : {"000", "001", "099", "600", "999", "101"}) {
        const std::string odd = "HTTP/1.1 " + std::string(status) + " X\r\n" + signedFields + "Content-Length: 5\r\n\r\nwrong";
        Host once;
        once.add(odd);
        CHECK_TEXT(once.call("POST", "/order/1").starts_with("HTTP/1.1 502"), status);
        CHECK_TEXT(once.placement.outcomes == std::vector{GrantOutcome::Malformed}, status);
        Host repeatable;
        repeatable.add(odd);
        repeatable.add(wholeAnswer(200, signedFields, "hello"));
        CHECK_TEXT(contains(repeatable.call("GET", "/safe/1"), "hello"), status);
        Host stream;
        stream.add("HTTP/1.1 " + std::string(status) + " X\r\n" + signedFields + "\r\n" + event(1));
        CHECK_TEXT(stream.call("POST", "/once/1").starts_with("HTTP/1.1 502"), status);
    }
}

// Guards against relaying an informational response as the answer, and against losing the answer that follows one.
TEST(CompleteAnswerTest, TheAnswerAfterInformationalResponsesCounts)
{
    const std::string informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\nContent-Length: 7\r\n\r\n";
    Host host;
    host.add(informational + wholeAnswer(200, signedFields, "hello"));
    const std::string answer = host.call("POST", "/order/1");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(contains(answer, "hello"));
    for (const char *last : {"100 Continue", "103 Early Hints", "199 X"}) {
        Host broken;
        broken.add("HTTP/1.1 " + std::string(last) + "\r\n" + signedFields + "\r\n");
        CHECK_TEXT(broken.call("POST", "/order/1").starts_with("HTTP/1.1 502"), last);
        CHECK_TEXT(broken.placement.outcomes == std::vector{GrantOutcome::Broken}, last);
    }
}
