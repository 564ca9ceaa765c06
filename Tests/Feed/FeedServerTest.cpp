#include "Feed/FeedServer.h"

#include "Feed/FeedClient.h"
#include "Feed/FeedFixtures.h"
#include "Feed/MirrorState.h"
#include "Peer/PeerCodec.h"
#include "Peer/PeerMessages_generated.h"
#include "Telemetry/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <memory>

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Feed;
using std::chrono::milliseconds;

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr WatchWaits waits{milliseconds(4000), milliseconds(1200), milliseconds(700)};

// A host that serves its view on loopback, and a client of it.
struct Fixture {
    Asio::io_context io{1};
    DiscardingSink sink;
    EventLog log{"h", 0, sink};
    RecordingObserver observer;
    FakeRestorePolicy policy;
    SourceSelector selector{HostId("server"), ReaderLimits(), milliseconds(2000), RandomEngine(1)};
    MirrorState state{selector, waits, observer, policy, log, Clock::now()};
    FeedServer server{io, state, log, [](std::size_t) {}};
    FeedClient client{io, HostId("client"), DataCentreId("dc"), log, [](std::size_t) {}};

    Fixture()
    {
        CHECK_FALSE(server.listen({"127.0.0.1", 0}));
        client.setHosts({{HostId("server"), {"127.0.0.1", server.port()}, {}}});
    }

    void answerStoreCall(std::vector<StoreItem> items, std::uint64_t revision)
    {
        ItemPage page;
        page.status = SourceStatus::Ok;
        page.items = std::move(items);
        page.revision = revision;
        MirrorCall call = state.next(Clock::now());
        state.handleAnswer(call, page, Clock::now());
        server.viewChanged();
    }

    void runUntil(const std::function<bool()> &done)
    {
        for (int round = 0; round < 600 && !done(); ++round) {
            io.restart();
            io.run_for(milliseconds(10));
        }
    }

    std::optional<ItemPage> result;

    void readPage()
    {
        result.reset();
        Asio::co_spawn(
            io,
            [this]() -> Asio::awaitable<void> {
                result = co_await client.peer(HostId("server")).readPage(0, "");
            },
            Asio::detached);
    }

    void watch(std::uint64_t revision, milliseconds wait)
    {
        result.reset();
        Asio::co_spawn(
            io,
            [this, revision, wait]() -> Asio::awaitable<void> {
                result = co_await client.peer(HostId("server")).watch(0, revision, wait);
            },
            Asio::detached);
    }

    bool answered() const
    {
        return result.has_value();
    }
};

// A peer that writes any bytes.
struct RawPeer {
    Asio::ip::tcp::socket socket;

    RawPeer(Asio::io_context &io, std::uint16_t port)
        : socket(io)
    {
        socket.connect({Asio::ip::make_address("127.0.0.1"), port});
        socket.non_blocking(true);
    }

    void write(const std::vector<std::uint8_t> &bytes)
    {
        boost::system::error_code ignored;
        Asio::write(socket, Asio::buffer(bytes), ignored);
    }

    bool closedByPeer()
    {
        std::array<std::uint8_t, 4096> buffer{};
        boost::system::error_code error;
        socket.read_some(Asio::buffer(buffer), error);
        return error && error != Asio::error::would_block;
    }
};

std::vector<std::uint8_t> frame(const Wire::PeerMessageT &message)
{
    std::vector<std::uint8_t> bytes;
    appendFrame(bytes, message);
    return bytes;
}

}

TEST_GROUP(FeedServerTest){};

// Guards against a follower that gets no keys, or not all of them, from a running host.
TEST(FeedServerTest, AFollowerReadsAllKeysAndThenChanges)
{
    Fixture fixture;
    fixture.answerStoreCall({written("a", 1), written("b", 2)}, 5);
    fixture.readPage();
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Ok);
    LONGS_EQUAL(2, fixture.result->items.size());
    fixture.watch(5, milliseconds(2000));
    fixture.io.restart();
    fixture.io.run_for(milliseconds(50));
    CHECK_FALSE(fixture.answered());
    fixture.answerStoreCall({removal("a", 6)}, 6);
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    LONGS_EQUAL(1, fixture.result->items.size());
    CHECK(fixture.result->items[0].removed);
    LONGS_EQUAL(6, fixture.result->revision);
}

// Guards against a host that takes a reader which has no view yet for one without keys.
TEST(FeedServerTest, AHostThatStartsSaysSo)
{
    Fixture fixture;
    fixture.readPage();
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Starting);
}

// Guards against a call without an end if the other host is gone.
TEST(FeedServerTest, ACallToAHostThatIsGoneFails)
{
    Fixture fixture;
    fixture.client.setHosts({{HostId("server"), {"127.0.0.1", 1}, {}}});
    fixture.watch(1, milliseconds(100));
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Failed);
    fixture.client.setHosts({});
    fixture.watch(1, milliseconds(100));
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Failed);
}

// Guards against a host that starts and waits two seconds for a reader whose machine has not started yet.
TEST(FeedServerTest, APageCallToAMachineThatDoesNotAnswerFailsSoonAtTheStart)
{
    Fixture fixture;
    // Once the queue of the listener is full, it answers no further attempt to connect.
    Asio::ip::tcp::acceptor full(fixture.io);
    full.open(Asio::ip::tcp::v4());
    full.bind({Asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<std::unique_ptr<Asio::ip::tcp::socket>> queued;
    for (int count = 0; count < 4; ++count) {
        queued.push_back(std::make_unique<Asio::ip::tcp::socket>(fixture.io));
        queued.back()->async_connect(full.local_endpoint(), [](const boost::system::error_code &) {});
    }
    fixture.io.run_for(milliseconds(50));
    fixture.client.setHosts({{HostId("server"), {"127.0.0.1", full.local_endpoint().port()}, {}}});
    fixture.client.setConnectLimit(milliseconds(150));
    const TimePoint start = Clock::now();
    fixture.readPage();
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Failed);
    const Duration elapsed = Clock::now() - start;
    CHECK(elapsed >= milliseconds(140));
    CHECK(elapsed < milliseconds(800));
}

// Guards against a host that gives up a peer which has accepted its connection and is still reading all keys itself.
TEST(FeedServerTest, AConnectedPeerKeepsTheTimeForAPage)
{
    Fixture fixture;
    fixture.client.setConnectLimit(milliseconds(50));
    fixture.readPage();
    fixture.runUntil([&]() {
        return fixture.answered();
    });
    CHECK(fixture.result->status == SourceStatus::Starting);
}

// Guards against one malformed or hostile message that takes a host down or stops it from serving others.
TEST(FeedServerTest, AMalformedMessageClosesItsConnectionOnly)
{
    Wire::PeerMessageT unknownKind;
    Wire::FeedCallT call;
    call.kind = static_cast<Wire::FeedCallKind>(77);
    unknownKind.body.Set(call);
    Wire::PeerMessageT otherMessage;
    otherMessage.body.Set(Wire::CancelT());
    std::vector<std::uint8_t> truncated = frame(unknownKind);
    truncated[3] = static_cast<std::uint8_t>(truncated[3] - 8);
    const std::vector<std::vector<std::uint8_t>> messages{
        {0xff, 0xff, 0xff, 0xff, 1, 2, 3}, {0, 0, 0, 4, 1, 2, 3, 4}, {0, 0, 0, 0}, truncated, frame(unknownKind), frame(otherMessage)};
    for (const std::vector<std::uint8_t> &message : messages) {
        Fixture fixture;
        fixture.answerStoreCall({written("a", 1)}, 5);
        RawPeer peer(fixture.io, fixture.server.port());
        peer.write(message);
        fixture.runUntil([&]() {
            return peer.closedByPeer();
        });
        CHECK(peer.closedByPeer());
        fixture.readPage();
        fixture.runUntil([&]() {
            return fixture.answered();
        });
        CHECK(fixture.result->status == SourceStatus::Ok);
    }
}

// Guards against memory that a peer fills by calling again and again without reading the answers.
TEST(FeedServerTest, ASecondCallBeforeTheAnswerEndsTheConnection)
{
    Fixture fixture;
    fixture.answerStoreCall({written("a", 1)}, 5);
    RawPeer peer(fixture.io, fixture.server.port());
    Wire::PeerMessageT message;
    Wire::FeedCallT call;
    call.kind = Wire::FeedCallKind::Changes;
    call.after_revision = 5;
    call.wait_ms = 4000;
    message.body.Set(call);
    peer.write(frame(message));
    peer.write(frame(message));
    fixture.runUntil([&]() {
        return peer.closedByPeer();
    });
    CHECK(peer.closedByPeer());
    LONGS_EQUAL(0, fixture.server.connectionCount());
}
