#include "Config/TextRule.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <string>

namespace Mangofall {

namespace {

constexpr std::size_t maxIdentifierLength = 128;
constexpr std::size_t maxPathLength = 1024;
constexpr std::size_t maxSummaryLength = 256;
constexpr std::size_t contentHashLength = 32;
constexpr std::size_t secretHashLength = 64;

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isIdentifier(std::string_view text)
{
    constexpr std::string_view punctuation = "._:-";
    return !text.empty() && text.size() <= maxIdentifierLength && std::ranges::all_of(text, [=](char c) {
        return isAlphanumeric(c) || punctuation.find(c) != std::string_view::npos;
    });
}

bool isIpAddress(std::string_view text)
{
    const std::string nullTerminated(text);
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const bool hasNul = text.find('\0') != std::string_view::npos;
    return !hasNul && (inet_pton(AF_INET, nullTerminated.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, nullTerminated.c_str(), bytes.data()) == 1);
}

bool isReachableAddress(std::string_view text)
{
    return isIpAddress(text) && text != "0.0.0.0" && text != "::";
}

bool isUrlPath(std::string_view text)
{
    return text.starts_with('/') && text.size() <= maxPathLength && std::ranges::all_of(text, [](char c) {
               return c > ' ' && c <= '~' && c != '?' && c != '#';
           });
}

bool isContentHash(std::string_view text)
{
    return text.size() == contentHashLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isSecretHash(std::string_view text)
{
    return text.size() == secretHashLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isFilePath(std::string_view text)
{
    return !text.empty() && text.find('\0') == std::string_view::npos;
}

bool isSummary(std::string_view text)
{
    return text.size() <= maxSummaryLength && std::ranges::none_of(text, [](char c) {
               return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
           });
}

}

const TextRule identifierRule{isIdentifier, "1 to 128 letters, digits, '.', '_', ':' or '-'"};
const TextRule ipAddressRule{isIpAddress, "a numeric IPv4 or IPv6 address"};
const TextRule reachableAddressRule{isReachableAddress, "a numeric IPv4 or IPv6 address other than the unspecified one"};
const TextRule urlPathRule{isUrlPath, "a path that starts with '/', without spaces, '?' or '#', at most 1024 bytes"};
const TextRule contentHashRule{isContentHash, "32 lower-case hexadecimal digits"};
const TextRule secretHashRule{isSecretHash, "64 lower-case hexadecimal digits"};
const TextRule filePathRule{isFilePath, "the path of a file, not empty and without NUL bytes"};
const TextRule summaryRule{isSummary, "at most 256 bytes without control characters"};

}
