#include "Edge/EdgeProcess.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "Property.h"

#include <csignal>

using namespace Mangofall;
using Mangofall::Testing::EdgeProcess;
using Mangofall::Testing::orderRequest;
using Mangofall::Testing::ScriptedUpstream;

namespace {

namespace Asio = boost::asio;

// Shorter than the platform's, for the tests' sake, but longer than the time until a leaving host refuses new requests.
constexpr std::chrono::seconds stopTime{5};
const std::string completeAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nhello";

// Makes the upstream send header fields, but never the end of the header.
void neverEnds(ScriptedUpstream &upstream)
{
    upstream.block = "F: v\r\n";
    upstream.blockLimit = 1000;
    upstream.pause = std::chrono::milliseconds(50);
}

}

TEST_GROUP(EdgeProcessTest){};

// Guards against a host that does not start because something else on its machine has the port for metrics.
TEST(EdgeProcessTest, AHostServesAlthoughItsPortForMetricsIsTaken)
{
    EdgeProcess edge(stopTime);
    Asio::ip::tcp::acceptor taken(edge.io, edge.endpoint(EdgeProcess::metricsPort));
    edge.addUpstream(completeAnswer);
    edge.start();
    CHECK(edge.becomesReady());
    std::optional<std::string> answer;
    edge.call(orderRequest("a", "Connection: close\r\n"), answer);
    CHECK(edge.runUntil([&]() {
        return answer.has_value();
    }));
    CHECK(answer->starts_with("HTTP/1.1 200"));
}

// Guards against a host that stops without an announcement, so that the others keep it as one that only lost the store.
TEST(EdgeProcessTest, AHostThatStopsAnnouncesItInItsEntry)
{
    EdgeProcess edge(stopTime);
    edge.start();
    CHECK(edge.runUntil([&]() {
        return edge.hasLogged("peer_joined");
    }));
    edge.signal(SIGTERM);
    CHECK(edge.runUntil([&]() {
        return edge.hasLogged("peer_leaving");
    }));
}

// Guards against a fleet that waits for its members to register again after a loss of all hosts, and against one that waits for those that do not return.
TEST(EdgeProcessTest, AHostThatFindsItsFormerFleetServesAtOnce)
{
    EdgeProcess edge(stopTime);
    edge.addUpstream(completeAnswer);
    edge.listFormerHosts();
    edge.start();
    CHECK(edge.becomesReady());
    CHECK(edge.runUntil([&]() {
        return edge.hasLogged("requests_admitted");
    }));
    CHECK(edge.hasLogged("\"former_fleet\":\"true\""));
    std::optional<std::string> answer;
    edge.call(orderRequest("a", "Connection: close\r\n"), answer);
    CHECK(edge.runUntil([&]() {
        return answer.has_value();
    }));
    CHECK(answer->starts_with("HTTP/1.1 200"));
}

// Guards against a host that ends again and again while its predecessor is still shutting down.
TEST(EdgeProcessTest, AHostWaitsForThePortsOfItsPredecessor)
{
    EdgeProcess edge(stopTime);
    auto predecessor = std::make_unique<Asio::ip::tcp::acceptor>(edge.io, edge.endpoint(EdgeProcess::peerPort));
    edge.start();
    edge.runUntil([&]() {
        return edge.hasLogged("listen_waiting");
    });
    CHECK(edge.hasLogged("listen_waiting"));
    predecessor.reset();
    CHECK(edge.becomesReady());
}

// Guards against a host that can't be stopped, or ends with a failure, while it waits for a port.
TEST(EdgeProcessTest, AHostThatWaitsForAPortCanBeStopped)
{
    EdgeProcess edge(stopTime);
    Asio::ip::tcp::acceptor predecessor(edge.io, edge.endpoint(EdgeProcess::feedPort));
    edge.start();
    edge.runUntil([&]() {
        return edge.hasLogged("listen_waiting");
    });
    edge.signal(SIGTERM);
    const std::optional<int> status = edge.waitForEnd();
    CHECK(status.has_value());
    LONGS_EQUAL(0, *status);
}

// Guards against an order that is cut without an answer when the grace period of its host ends, so that its caller learns nothing.
TEST(EdgeProcessTest, ARequestThatOutlastsTheGracePeriodIsAnswered)
{
    EdgeProcess edge(stopTime);
    ScriptedUpstream &upstream = edge.addUpstream("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n");
    neverEnds(upstream);
    edge.start();
    CHECK(edge.becomesReady());
    std::optional<std::string> answer;
    edge.call(orderRequest("a"), answer);
    CHECK(edge.runUntil([&]() {
        return !upstream.requests().empty();
    }));
    edge.signal(SIGTERM);
    const std::optional<int> status = edge.waitForEnd();
    edge.runUntil([&]() {
        return answer.has_value();
    });
    STRCMP_CONTAINS("HTTP/1.1 502", answer.value_or("").c_str());
    CHECK(status.has_value());
    LONGS_EQUAL(0, *status);
}

// Guards against an order whose body arrives late in the grace period: it must be refused truthfully, not sent to an upstream and cut.
TEST(EdgeProcessTest, AnOrderWhoseBodyComesLateInTheGracePeriodIsRefused)
{
    EdgeProcess edge(stopTime);
    ScriptedUpstream &upstream = edge.addUpstream(completeAnswer);
    edge.start();
    CHECK(edge.becomesReady());
    Asio::ip::tcp::socket caller(edge.io);
    caller.connect(edge.endpoint(EdgeProcess::callerPort));
    const std::string head = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbo";
    Asio::write(caller, Asio::buffer(head));
    edge.signal(SIGTERM);
    CHECK(edge.runUntil([&]() {
        return edge.hasLogged("refusing");
    }));
    Asio::write(caller, Asio::buffer("dy", 2));
    std::string answer;
    boost::system::error_code end;
    Asio::read(caller, Asio::dynamic_buffer(answer), end);
    CHECK(end == Asio::error::eof);
    STRCMP_CONTAINS("HTTP/1.1 503", answer.c_str());
    STRCMP_CONTAINS("host_leaving", answer.c_str());
    LONGS_EQUAL(0, upstream.requests().size());
    LONGS_EQUAL(0, edge.waitForEnd().value_or(-1));
}
