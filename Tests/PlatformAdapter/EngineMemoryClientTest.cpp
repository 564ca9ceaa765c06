#include "PlatformEngineMemoryClient.h"

#include "Forwarding/ScriptedUpstream.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Platform;
using Forwarding::EngineMemoryAnswer;
using Mangofall::Testing::ScriptedUpstream;

namespace {

namespace Asio = boost::asio;

constexpr const char *emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *slowHead = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";

// What a reservation is answered, or, with \p releases, a release.
EngineMemoryAnswer call(ScriptedUpstream &engine, Asio::io_context &io, bool releases, std::chrono::milliseconds timeLeft)
{
    PlatformEngineMemoryClient client(io);
    const Forwarding::MemoryReservation reservation{UpstreamId("u"), {"127.0.0.1", engine.port()}, "t", 10};
    EngineMemoryAnswer answer = EngineMemoryAnswer::Done;
    const auto run = [&]() -> Asio::awaitable<void> {
        if (releases) {
            answer = co_await client.release(reservation);
        } else {
            answer = co_await client.reserve(reservation, std::chrono::seconds(3), std::chrono::steady_clock::now() + timeLeft);
        }
        engine.close();
    };
    Asio::co_spawn(io, run, Asio::detached);
    io.run();
    return answer;
}

}

TEST_GROUP(EngineMemoryClientTest){};

// Guards against a long prompt that waits without end for a helper whose answer comes a byte now and then.
TEST(EngineMemoryClientTest, AnAnswerThatComesAByteNowAndThenIsNone)
{
    for (const bool releases : {false, true}) {
        Asio::io_context io(1);
        ScriptedUpstream engine(io, {slowHead});
        engine.block = " ";
        engine.blockLimit = 99;
        engine.pause = std::chrono::milliseconds(20);
        engine.rest = " ";
        CHECK(call(engine, io, releases, std::chrono::seconds(5)) == EngineMemoryAnswer::None);
    }
}

// Guards against a request that is held past its deadline, although the call for its memory might still be answered.
TEST(EngineMemoryClientTest, TheDeadlineOfTheRequestEndsTheCall)
{
    Asio::io_context io(1);
    ScriptedUpstream engine(io, {slowHead});
    engine.block = " ";
    engine.blockLimit = 20;
    engine.pause = std::chrono::milliseconds(10);
    engine.rest = std::string(80, ' ');
    CHECK(call(engine, io, false, std::chrono::milliseconds(50)) == EngineMemoryAnswer::None);
}

// Guards against answers that are mistaken for each other, so that memory counts as reserved that is not, or a release is repeated for nothing.
TEST(EngineMemoryClientTest, StatusesAreToldApart)
{
    const auto answerTo = [](const std::string &answer, bool releases) {
        Asio::io_context io(1);
        ScriptedUpstream engine(io, {answer});
        return call(engine, io, releases, std::chrono::seconds(5));
    };
    CHECK(answerTo(emptyAnswer, false) == EngineMemoryAnswer::Done);
    CHECK(answerTo("HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n", false) == EngineMemoryAnswer::Refused);
    CHECK(answerTo("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", true) == EngineMemoryAnswer::Done);
    CHECK(answerTo("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true) == EngineMemoryAnswer::Refused);
    CHECK(answerTo("", false) == EngineMemoryAnswer::None);
    CHECK(answerTo(std::string("HTTP/1.1 100 Continue\r\n\r\n") + emptyAnswer, false) == EngineMemoryAnswer::Done);
    for (const char *status : {"000", "099", "600", "101", "103"}) {
        const std::string odd = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n";
        CHECK_TEXT(answerTo(odd, false) == EngineMemoryAnswer::None, status);
        CHECK_TEXT(answerTo(odd, true) == EngineMemoryAnswer::None, status);
    }
}
