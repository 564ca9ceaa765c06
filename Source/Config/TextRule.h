#pragma once

#include <string_view>

namespace Mangofall {

/**
 * \class TextRule
 * \brief A check of the strings that a field accepts, with their description for error messages.
 */
struct TextRule {
    bool (*accepts)(std::string_view text) = nullptr;
    const char *allowed = "";
};

/// An id or a name: 1 to 128 letters, digits, `.`, `_`, `:` and `-`.
extern const TextRule identifierRule;
/// A numeric IPv4 or IPv6 address; host names are refused because hosts must not depend on a resolver.
extern const TextRule ipAddressRule;
/// An address that other hosts can connect to: any numeric IPv4 or IPv6 address except `0.0.0.0` and `::`.
extern const TextRule reachableAddressRule;
/// A URL path: starts with `/`, printable ASCII without spaces, `?` and `#`, at most 1,024 bytes.
extern const TextRule urlPathRule;
/// A content hash: 32 lower-case hexadecimal digits.
extern const TextRule contentHashRule;
/// The SHA-256 of a secret: 64 lower-case hexadecimal digits.
extern const TextRule secretHashRule;
/// A file path: not empty and without NUL bytes.
extern const TextRule filePathRule;
/// Free text of at most 256 bytes without control characters.
extern const TextRule summaryRule;

}
