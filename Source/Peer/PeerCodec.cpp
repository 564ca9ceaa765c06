#include "Peer/PeerCodec.h"

#include "Peer/PeerMessages_generated.h"

#include <boost/endian/conversion.hpp>

namespace Mangofall {

void appendFrame(std::vector<std::uint8_t> &buffer, const Wire::PeerMessageT &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::PeerMessage::Pack(builder, &message));
    const std::size_t start = buffer.size();
    buffer.resize(start + frameHeaderBytes + builder.GetSize());
    boost::endian::store_big_u32(buffer.data() + start, builder.GetSize());
    std::copy_n(builder.GetBufferPointer(), builder.GetSize(), buffer.data() + start + frameHeaderBytes);
}

std::size_t frameLength(std::span<const std::uint8_t, frameHeaderBytes> header)
{
    return boost::endian::load_big_u32(header.data());
}

std::error_code decodeFrame(std::span<const std::uint8_t> payload, Wire::PeerMessageT &message)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!Wire::VerifyPeerMessageBuffer(verifier)) {
        return std::make_error_code(std::errc::bad_message);
    }
    Wire::GetPeerMessage(payload.data())->UnPackTo(&message);
    return message.body.type == Wire::Body::NONE ? std::make_error_code(std::errc::bad_message) : std::error_code();
}

}
