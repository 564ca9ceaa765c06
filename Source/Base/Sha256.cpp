#include "Base/Sha256.h"

#include <openssl/sha.h>

#include <array>

namespace Mangofall {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr unsigned highNibbleShift = 4;
constexpr unsigned lowNibbleMask = 0xf;

}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += hexDigits[byte >> highNibbleShift];
        text += hexDigits[byte & lowNibbleMask];
    }
    return text;
}

}
