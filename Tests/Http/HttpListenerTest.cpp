#include "Http/HttpListener.h"
#include "Http/HttpExchange.h"
#include "Http/HttpHandler.h"
#include "Http/HttpServerLimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "Property.h"

#include <memory>
#include <string>
#include <vector>

using namespace Mangofall;

namespace {

namespace Asio = boost::asio;

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

class FixedHandler final : public HttpHandler
{
public:
    bool keepsAlive = true;

    Asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        if (!keepsAlive) {
            exchange.disableKeepAlive();
        }
        co_await answer(exchange, 200);
    }

    Asio::awaitable<void> handleUnreadable(HttpExchange &exchange, unsigned status) override
    {
        co_await answer(exchange, status);
    }

private:
    static Asio::awaitable<void> answer(HttpExchange &exchange, unsigned status)
    {
        std::string contentType;
        std::string body = "answer";
        HeaderFields fields;
        co_await exchange.respond(status, std::move(contentType), std::move(body), std::move(fields));
    }
};

// A listener and callers on loopback; the listener runs only while run() does.
struct Server {
    Asio::io_context io{1};
    FixedHandler handler;
    HttpListener listener{io, handler, 1000};

    Server()
    {
        CHECK_FALSE(listener.listen("127.0.0.1", 0));
    }

    std::unique_ptr<Asio::ip::tcp::socket> connect()
    {
        auto socket = std::make_unique<Asio::ip::tcp::socket>(io);
        socket->connect({Asio::ip::make_address("127.0.0.1"), listener.port()});
        return socket;
    }

    void run()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(300));
    }
};

// What the caller has received when the connection ended; \p error tells how it ended.
std::string receivedBy(Asio::ip::tcp::socket &socket, boost::system::error_code &error)
{
    std::string received;
    Asio::read(socket, Asio::dynamic_buffer(received), error);
    return received;
}

}

TEST_GROUP(HttpListenerTest){};

// Guards against connections that are reset, with their requests, because they wait to be accepted when the listener closes.
TEST(HttpListenerTest, ConnectionsThatWaitToBeAcceptedAreServedBeforeTheListenerCloses)
{
    Server server;
    server.handler.keepsAlive = false;
    std::vector<std::unique_ptr<Asio::ip::tcp::socket>> callers;
    for (int count = 0; count < 20; ++count) {
        callers.push_back(server.connect());
        Asio::write(*callers.back(), Asio::buffer(request));
    }
    server.listener.close();
    server.run();
    for (const auto &caller : callers) {
        boost::system::error_code error;
        CHECK(receivedBy(*caller, error).starts_with("HTTP/1.1 200"));
        CHECK(error == Asio::error::eof);
    }
    LONGS_EQUAL(0, server.listener.connectionCount());
}

// Guards against a request on a kept connection that is lost because it arrives at the moment at which the listener closes the connection.
TEST(HttpListenerTest, ARequestThatCrossesTheCloseIsAnswered)
{
    Server server;
    const auto caller = server.connect();
    Asio::write(*caller, Asio::buffer(request));
    server.run();
    server.handler.keepsAlive = false;
    server.listener.close();
    Asio::write(*caller, Asio::buffer(request));
    server.run();
    boost::system::error_code error;
    const std::string received = receivedBy(*caller, error);
    const std::size_t second = received.find("HTTP/1.1 200", 1);
    CHECK(second != std::string::npos);
    CHECK(error == Asio::error::eof);
}

// Guards against an answer that its caller loses because the connection is reset while the caller still sends the rest of the request.
TEST(HttpListenerTest, AnAnswerBeforeTheEndOfTheBodyReachesTheCaller)
{
    Server server;
    const auto caller = server.connect();
    const std::string body(100'000, 'x');
    Asio::write(*caller, Asio::buffer("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + body));
    server.run();
    boost::system::error_code writeError;
    Asio::write(*caller, Asio::buffer(body), writeError);
    CHECK_FALSE(writeError);
    boost::system::error_code error;
    CHECK(receivedBy(*caller, error).starts_with("HTTP/1.1 413"));
    CHECK(error == Asio::error::eof);
}

// Guards against a caller that fills the memory with bytes which never become a request.
TEST(HttpListenerTest, EndlessBytesOfACallerAreRefused)
{
    for (const std::string &start : {std::string("GET "),
                                     request.substr(0, request.size() - 2) + "Long: ",
                                     std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
        Server server;
        const auto caller = server.connect();
        caller->non_blocking(true);
        const std::string block(64UL * 1024, '0');
        boost::system::error_code error;
        caller->write_some(Asio::buffer(start), error);
        std::size_t written = 0;
        for (int round = 0; round < 200 && (!error || error == Asio::error::would_block); ++round) {
            written += caller->write_some(Asio::buffer(block), error);
            server.io.restart();
            server.io.run_for(std::chrono::milliseconds(2));
        }
        CHECK(written < 10UL * 1024 * 1024);
        server.io.restart();
        server.io.run_for(std::chrono::milliseconds(600));
        LONGS_EQUAL(0, server.listener.connectionCount());
    }
}
