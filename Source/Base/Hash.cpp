#include "Base/Hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace Mangofall {

std::uint64_t hash64(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), hash64(node));
}

std::string contentHash(std::string_view data)
{
    constexpr std::size_t hexLength = 32;
    const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
    std::array<char, hexLength + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return std::string(text.data(), hexLength);
}

}
