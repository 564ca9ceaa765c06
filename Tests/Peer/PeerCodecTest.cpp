#include "Property.h"

#include "Peer/PeerCodec.h"
#include "Peer/PeerMessages_generated.h"

using namespace Mangofall;

TEST_GROUP(PeerCodecTest){};

// Guards against stream data that encoding and decoding alter or assign to another attempt.
TEST(PeerCodecTest, StreamDataIsDecodedUnchanged)
{
    Testing::checkProperty("stream data is decoded unchanged", [](std::uint64_t host, std::uint32_t index, const std::vector<std::uint8_t> &data) {
        Wire::StreamDataT sent;
        sent.attempt = std::make_unique<Wire::AttemptKey>(host, 2, 3);
        sent.index = index;
        sent.data = data;
        Wire::PeerMessageT message;
        message.body.Set(std::move(sent));
        std::vector<std::uint8_t> buffer;
        appendFrame(buffer, message);
        RC_ASSERT(frameLength(std::span<const std::uint8_t, frameHeaderBytes>(buffer.data(), frameHeaderBytes)) == buffer.size() - frameHeaderBytes);
        Wire::PeerMessageT received;
        RC_ASSERT(!decodeFrame(std::span(buffer).subspan(frameHeaderBytes), received));
        const Wire::StreamDataT *decoded = received.body.AsStreamData();
        RC_ASSERT(decoded != nullptr && decoded->attempt->host() == host && decoded->index == index && decoded->data == data);
    });
}

// Guards against damaged input that crashes the decoder or is decoded as a message.
TEST(PeerCodecTest, RandomBytesAreRejected)
{
    Testing::checkProperty("random bytes are rejected", [](const std::vector<std::uint8_t> &bytes) {
        Wire::PeerMessageT message;
        RC_ASSERT(decodeFrame(bytes, message) == std::errc::bad_message);
    });
}
