#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Mangofall {

/// 64-bit xxHash (XXH3) of \p data.
std::uint64_t hash64(std::string_view data);

/// Score of \p node for \p key in rendezvous hashing; the node with the highest score owns the key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// 128-bit xxHash (XXH3) of \p data as 32 hexadecimal digits; used as the name of content-addressed keys.
std::string contentHash(std::string_view data);

}
