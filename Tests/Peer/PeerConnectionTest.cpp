#include "Property.h"
#include <algorithm>

#include "Peer/PeerConnection.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerMessageHandler.h"
#include "Peer/PeerMessages_generated.h"
#include "Peer/TcpListener.h"

#include "Base/AsyncTasks.h"

#include <boost/asio/io_context.hpp>

#include <stdexcept>
#include <utility>

using namespace Mangofall;

namespace {

class RecordingHandler : public PeerMessageHandler
{
public:
    explicit RecordingHandler(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void handleMessage(const std::shared_ptr<PeerConnection> &, Wire::PeerMessageT &&message) override
    {
        if (failure) {
            throw std::runtime_error(std::exchange(failure, nullptr));
        }
        if (const Wire::StreamDataT *data = message.body.AsStreamData()) {
            indexes.push_back(data->index);
        } else if (message.body.type == Wire::Body::Hello) {
            helloCount += 1;
        }
        if (indexes.size() == expectedMessages) {
            m_context.stop();
        }
    }

    void handleClosed(const std::shared_ptr<PeerConnection> &) override
    {
        closedCount += 1;
        m_context.stop();
    }

    const char *failure = nullptr; ///< Thrown for the next message if set.
    std::vector<std::uint64_t> indexes;
    std::size_t expectedMessages = 0;
    int helloCount = 0;
    int closedCount = 0;

private:
    boost::asio::io_context &m_context;
};

Wire::PeerMessageT dataMessage(std::uint64_t index)
{
    Wire::StreamDataT data;
    data.attempt = std::make_unique<Wire::AttemptKey>(1, 2, 3);
    data.index = index;
    Wire::PeerMessageT message;
    message.body.Set(std::move(data));
    return message;
}

void ignoreBytes(std::size_t)
{
}

}

TEST_GROUP(PeerConnectionTest){};

// Guards against messages that are lost or reordered when those queued while connecting are followed by batched writes.
TEST(PeerConnectionTest, LinkDeliversHelloThenMessagesInOrder)
{
    constexpr std::uint64_t messageCount = 1000;
    boost::asio::io_context context;
    RecordingHandler receiver(context);
    receiver.expectedMessages = messageCount;
    std::vector<std::shared_ptr<PeerConnection>> accepted;
    TcpListener listener(context, [&](boost::asio::ip::tcp::socket socket) {
        accepted.push_back(std::make_shared<PeerConnection>(std::move(socket), ignoreBytes));
        accepted.back()->start(receiver);
    });
    CHECK_FALSE(listener.listen("127.0.0.1", 0, false));
    RecordingHandler sender(context);
    const auto link = std::make_shared<PeerLink>(context, "127.0.0.1", listener.port(), std::make_shared<Wire::HelloT>(), sender, ignoreBytes);
    for (std::uint64_t index = 0; index < messageCount; ++index) {
        link->send(dataMessage(index));
    }
    context.run();
    LONGS_EQUAL(1, receiver.helloCount);
    LONGS_EQUAL(messageCount, receiver.indexes.size());
    CHECK(std::is_sorted(receiver.indexes.begin(), receiver.indexes.end()));
}

// Guards against senders that wait forever because a failed connection attempt is not reported.
TEST(PeerConnectionTest, FailedConnectIsReported)
{
    boost::asio::io_context context;
    std::uint16_t unusedPort = 0;
    {
        TcpListener listener(context, [](boost::asio::ip::tcp::socket) {});
        CHECK_FALSE(listener.listen("127.0.0.1", 0, false));
        unusedPort = listener.port();
    }
    RecordingHandler sender(context);
    const auto link = std::make_shared<PeerLink>(context, "127.0.0.1", unusedPort, std::make_shared<Wire::HelloT>(), sender, ignoreBytes);
    link->send(dataMessage(1));
    context.run();
    LONGS_EQUAL(1, sender.closedCount);
}

// Guards against a connection that stays open, although nobody reads it any more, because a message could not be handled.
TEST(PeerConnectionTest, AMessageThatCannotBeHandledClosesItsConnection)
{
    boost::asio::io_context context(1);
    RecordingHandler receiver(context);
    receiver.failure = "message";
    RecordingHandler sender(context);
    std::shared_ptr<PeerConnection> accepted;
    TcpListener listener(context, [&](boost::asio::ip::tcp::socket socket) {
        accepted = std::make_shared<PeerConnection>(std::move(socket), ignoreBytes);
        accepted->start(receiver);
    });
    CHECK_FALSE(listener.listen("127.0.0.1", 0, false));
    const auto link = std::make_shared<PeerLink>(context, "127.0.0.1", listener.port(), std::make_shared<Wire::HelloT>(), sender, ignoreBytes);
    link->send(dataMessage(1));
    std::vector<std::string> problems;
    runReportingErrors(context, [&](const char *problem) {
        problems.emplace_back(problem);
    });
    LONGS_EQUAL(1, receiver.closedCount);
    context.restart();
    context.poll();
    CHECK_FALSE(accepted->isOpen());
}

// Guards against a listener that accepts nothing any more because one connection could not be handled.
TEST(PeerConnectionTest, AnExceptionForOneConnectionDoesNotStopTheListener)
{
    boost::asio::io_context context(1);
    int accepted = 0;
    TcpListener listener(context, [&](boost::asio::ip::tcp::socket) {
        if (++accepted == 1) {
            throw std::runtime_error("connection");
        }
        context.stop();
    });
    CHECK_FALSE(listener.listen("127.0.0.1", 0, false));
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), listener.port());
    boost::asio::ip::tcp::socket first(context);
    first.connect(endpoint);
    boost::asio::ip::tcp::socket second(context);
    second.connect(endpoint);
    std::vector<std::string> problems;
    runReportingErrors(context, [&](const char *problem) {
        problems.emplace_back(problem);
    });
    LONGS_EQUAL(2, accepted);
    CHECK(problems.size() <= 1);
}
