#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

namespace Mangofall::Wire {
struct PeerMessageT;
}

namespace Mangofall {

/// Size of the frame header in bytes: the payload's length as a big-endian 32-bit number.
constexpr std::size_t frameHeaderBytes = 4;

/// Encodes \p message and appends it to \p buffer as one frame.
void appendFrame(std::vector<std::uint8_t> &buffer, const Wire::PeerMessageT &message);

/// Payload length in bytes that \p header states.
std::size_t frameLength(std::span<const std::uint8_t, frameHeaderBytes> header);

/// Verifies the payload of one frame and decodes it into \p message; returns errc::bad_message if it is not a valid PeerMessage.
std::error_code decodeFrame(std::span<const std::uint8_t> payload, Wire::PeerMessageT &message);

}
