#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Mangofall {

/// Hashes of the first blocks of \p prompt, each over its block and the hash before it, as engines with 256-token blocks of
/// about 4 bytes per token report them; at most \p maxBlocks.
std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt, std::size_t maxBlocks);

/// Tokens per block.
constexpr std::uint64_t promptBlockTokens = 256;

}
