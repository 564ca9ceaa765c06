#include "Store/HttpConnectionPool.h"

#include "Forwarding/ScriptedUpstream.h"

#include "Property.h"

#include <boost/asio/co_spawn.hpp>

using namespace Mangofall;
using Mangofall::Testing::ScriptedUpstream;

namespace {

namespace Asio = boost::asio;

HttpCallResult callOnce(const std::string &answer, std::size_t bodyBytes = 0, bool resets = false)
{
    Asio::io_context io(1);
    ScriptedUpstream server(io, {answer});
    server.resets = resets;
    HttpConnectionPool pool(io, {"127.0.0.1", server.port()});
    HttpConnectionPool::Request request(boost::beast::http::verb::post, "/", 11);
    request.body() = std::string(bodyBytes, 'b');
    HttpCallResult result;
    Asio::co_spawn(io, pool.call(std::move(request), std::chrono::seconds(5), false), [&](const std::exception_ptr &, HttpCallResult done) {
        result = std::move(done);
        server.close();
    });
    io.run();
    return result;
}

}

TEST_GROUP(HttpConnectionPoolTest){};

// Guards against taking an informational response, or a status line that is no status of HTTP, for the answer of the store.
TEST(HttpConnectionPoolTest, OnlyAFinalStatusIsAnAnswer)
{
    const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    const HttpCallResult afterInformational = callOnce("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + okAnswer);
    CHECK(afterInformational.response.has_value() && afterInformational.response->body() == "hello");
    for (const char *status : {"000", "099", "600", "999", "101", "100", "103"}) {
        const HttpCallResult odd = callOnce("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n");
        CHECK_TEXT(!odd.response.has_value() && odd.possiblySent, status);
    }
}

// Guards against a part of an answer that counts as whole because the connection was reset while the call was still being written.
TEST(HttpConnectionPoolTest, APartOfAnEarlyAnswerIsNoAnswer)
{
    constexpr std::size_t longBodyBytes = 16'000'000;
    const HttpCallResult result = callOnce("HTTP/1.1 200 OK\r\n\r\n{}", longBodyBytes, true);
    CHECK(!result.response.has_value() && result.possiblySent);
}
