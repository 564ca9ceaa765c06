#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Mangofall {

/// Chained hashes of the leading blocks of \p prompt, as engines with 256-token blocks of about 4 bytes per token report
/// them; at most \p maxBlocks.
std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt, std::size_t maxBlocks);

/// Tokens per block.
constexpr std::uint64_t promptBlockTokens = 256;

}
