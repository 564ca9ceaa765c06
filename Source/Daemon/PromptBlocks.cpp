#include "Daemon/PromptBlocks.h"

#include "Base/Hash.h"

#include <boost/endian/conversion.hpp>

#include <string>

namespace Mangofall {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockBytes = promptBlockTokens * bytesPerToken;

}

std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt, std::size_t maxBlocks)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    std::string text;
    while (prompt.size() >= blockBytes && blocks.size() < maxBlocks) {
        text.resize(sizeof previous);
        boost::endian::store_little_u64(reinterpret_cast<unsigned char *>(text.data()), previous);
        text.append(prompt.substr(0, blockBytes));
        previous = hash64(text);
        blocks.push_back(previous);
        prompt.remove_prefix(blockBytes);
    }
    return blocks;
}

}
