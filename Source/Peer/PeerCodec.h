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

/// Bytes of the big-endian length in front of each frame.
constexpr std::size_t frameHeaderBytes = 4;

/// Largest frame; a prompt of a million tokens takes several megabytes.
constexpr std::size_t maxFrameBytes = 64UL * 1024 * 1024;

/// Appends \p message as one frame to \p buffer.
void appendFrame(std::vector<std::uint8_t> &buffer, const Wire::PeerMessageT &message);

/// Length of the frame whose header is \p header.
std::size_t frameLength(std::span<const std::uint8_t, frameHeaderBytes> header);

/// Verifies and decodes the payload of one frame into \p message; errc::bad_message if it is not a valid PeerMessage.
std::error_code decodeFrame(std::span<const std::uint8_t> payload, Wire::PeerMessageT &message);

}
