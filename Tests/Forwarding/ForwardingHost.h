#pragma once

#include "FakeEngineMemoryClient.h"
#include "FakePlacement.h"
#include "FakeTranslator.h"
#include "Forwarding/AnswerMemory.h"
#include "Forwarding/Forwarder.h"
#include "Forwarding/RetryBudgets.h"
#include "Forwarding/RouteTable.h"
#include "Forwarding/UpstreamDirectory.h"
#include "Http/HttpListener.h"
#include "ScriptedUpstream.h"
#include "Telemetry/EventLog.h"
#include "Telemetry/ForwardingMetrics.h"
#include "Telemetry/LineSink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Property.h"

#include <array>
#include <cstdio>

namespace Mangofall::Testing {

using namespace Forwarding;

class DiscardingSink final : public LineSink
{
public:
    bool write(std::string_view) override
    {
        return true;
    }
};

inline RouteRule route(const std::string &prefix, RequestKind kind, bool resumable)
{
    RouteRule rule;
    rule.name = prefix;
    rule.hostName = "x";
    rule.pathPrefix = prefix;
    rule.kind = kind;
    rule.timeout = std::chrono::seconds(5);
    rule.target = std::chrono::seconds(1);
    rule.maxRuns = 2;
    rule.isPublic = prefix != "/private/";
    rule.resumable = resumable;
    rule.services = {{ServiceId("s"), 1}};
    return rule;
}

inline std::shared_ptr<const RouteTable> routes()
{
    ForwardingConfiguration configuration;
    configuration.routes = {route("/order/", RequestKind::AtMostOnce, false),
                            route("/safe/", RequestKind::Idempotent, false),
                            route("/stream/", RequestKind::Stream, true),
                            route("/once/", RequestKind::Stream, false),
                            route("/private/", RequestKind::Idempotent, false)};
    configuration.requiresCredentials = true;
    configuration.organisations = {{OrganisationId("o"), {"k"}, std::nullopt}};
    return std::make_shared<const RouteTable>(configuration);
}

// Large enough for requests that do not fit into the buffers of a connection.
constexpr std::size_t maxRequestBytes = 32'000'000;

// A host that serves callers on loopback, with a caller that sends one request and reads until the connection closes.
struct Host {
    AnswerMemory answerMemory; ///< Before io, because requests in progress end with it.
    boost::asio::io_context io{1};
    DiscardingSink sink;
    EventLog log{"h", 0, sink};
    ForwardingMetrics metrics;
    FakeTranslator translator;
    FakeEngineMemoryClient engineMemory;
    FakePlacement placement;
    UpstreamDirectory directory;
    RetryBudgets budgets{1};
    ForwardingContext context{io, translator, placement, engineMemory, directory, budgets, answerMemory, log, metrics};
    Forwarder forwarder{context};
    HttpListener listener{io, forwarder, maxRequestBytes};
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;

    Host()
    {
        budgets.setShare({1, 1000});
        forwarder.setRoutes(routes());
        CHECK_FALSE(listener.listen("127.0.0.1", 0));
    }

    ScriptedUpstream &add(const std::string &answer)
    {
        upstreams.push_back(std::make_unique<ScriptedUpstream>(io, std::vector<std::string>{answer}));
        placement.ports.push_back(upstreams.back()->port());
        return *upstreams.back();
    }

    std::string call(const std::string &method, const std::string &path, const std::string &fields = std::string(), const std::string &body = std::string())
    {
        std::string answer;
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        const std::string request = method + " " + path + " HTTP/1.1\r\nHost: x\r\nId: 7\r\nConnection: close\r\n" + fields + length + body;
        boost::asio::co_spawn(io, exchange(request, answer), [this](const std::exception_ptr &) {
            io.stop();
        });
        io.run();
        return answer;
    }

    boost::asio::awaitable<void> exchange(const std::string &request, std::string &answer) const
    {
        boost::asio::ip::tcp::socket socket(co_await boost::asio::this_coro::executor);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), listener.port());
        co_await socket.async_connect(endpoint, boost::asio::use_awaitable);
        co_await boost::asio::async_write(socket, boost::asio::buffer(request), boost::asio::use_awaitable);
        auto buffer = boost::asio::dynamic_buffer(answer);
        co_await boost::asio::async_read(socket, buffer, boost::asio::as_tuple(boost::asio::use_awaitable));
    }
};

inline std::string wholeAnswer(unsigned status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

inline std::string chunk(const std::string &data)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

inline const std::string streamHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

inline std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++found;
    }
    return found;
}

}
