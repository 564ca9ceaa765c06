#include "Http/UpstreamCall.h"

#include "Forwarding/ScriptedUpstream.h"
#include "Http/UpstreamConnectionPool.h"

#include "Property.h"

using namespace Mangofall;
using Mangofall::Testing::ScriptedUpstream;

namespace {

namespace Asio = boost::asio;

struct CallOutcome {
    boost::system::error_code error;
    std::string body;
    bool reused = false; ///< Whether the pool kept the connection.
};

CallOutcome call(const std::string &answer, std::size_t uploadBytes, bool resets)
{
    Asio::io_context io(1);
    ScriptedUpstream upstream(io, {answer});
    upstream.resets = resets;
    // Keeps the connection open behind the answer, so that only its content decides whether it is reused.
    upstream.rest = " ";
    upstream.pause = std::chrono::milliseconds(resets ? 0 : 200);
    auto pool = std::make_shared<UpstreamConnectionPool>(io, "127.0.0.1", upstream.port());
    CallOutcome outcome;
    const auto run = [&]() -> Asio::awaitable<void> {
        const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        {
            UpstreamCall upstreamCall(pool, deadline);
            UpstreamCall::Request request(boost::beast::http::verb::post, "/", 11);
            request.body() = std::string(uploadBytes, 'u');
            outcome.error = co_await upstreamCall.start(std::move(request));
            if (!outcome.error) {
                outcome.error = co_await upstreamCall.readAll(outcome.body, uploadBytes + 1000);
            }
        }
        boost::system::error_code error;
        upstream.close();
        co_await pool->acquire(deadline, error);
        outcome.reused = !error;
    };
    Asio::co_spawn(io, run, Asio::detached);
    io.run();
    return outcome;
}

}

TEST_GROUP(UpstreamCallTest){};

// Guards against a connection that is used again although bytes behind the response, or a response without its own end, would be taken for the next response.
TEST(UpstreamCallTest, OnlyACleanConnectionIsReused)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    const CallOutcome clean = call(whole, 0, false);
    CHECK(!clean.error && clean.body == "hello" && clean.reused);
    const CallOutcome surplus = call(whole + "HTTP/1.1 200 OK\r\n", 0, false);
    CHECK(!surplus.error && surplus.body == "hello" && !surplus.reused);
    const CallOutcome upgraded = call("HTTP/1.1 101 X\r\n\r\n", 0, false);
    CHECK(upgraded.error == ResponseError::UnrequestedUpgrade && !upgraded.reused);
}

// Guards against mistaking an early answer for whole or partial: on a connection that is reset during a long upload, only one with a length is complete.
TEST(UpstreamCallTest, AnEarlyAnswerIsCompleteOnlyWithItsOwnFraming)
{
    constexpr std::size_t longUploadBytes = 16'000'000;
    const CallOutcome whole = call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", longUploadBytes, true);
    CHECK(!whole.error && whole.body == "hello" && !whole.reused);
    const CallOutcome chunked = call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", longUploadBytes, true);
    CHECK(!chunked.error && chunked.body == "hello");
    const CallOutcome withoutLength = call("HTTP/1.1 200 OK\r\n\r\nhello", longUploadBytes, true);
    CHECK(withoutLength.error == ResponseError::EndUnknown);
}
