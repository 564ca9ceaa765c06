#pragma once

#include <string_view>

namespace Mangofall {

/**
 * \class TextRule
 * \brief Which strings a field accepts, and how an error message describes them.
 */
struct TextRule {
    bool (*accepts)(std::string_view text) = nullptr;
    const char *allowed = "";
};

/// Ids and names: 1 to 128 letters, digits, `.`, `_`, `:` and `-`.
extern const TextRule identifierRule;
/// A numeric IPv4 or IPv6 address; host names are refused because hosts must not depend on a resolver.
extern const TextRule ipAddressRule;
/// An address that other hosts can connect to: a numeric one other than `0.0.0.0` and `::`.
extern const TextRule reachableAddressRule;
/// A URL path: starts with `/`, printable ASCII without spaces, `?` and `#`, at most 1,024 bytes.
extern const TextRule urlPathRule;
/// A content hash: 32 lower-case hexadecimal digits.
extern const TextRule contentHashRule;
/// The SHA-256 of a secret: 64 lower-case hexadecimal digits.
extern const TextRule secretHashRule;
/// A path of a file: not empty, no NUL byte.
extern const TextRule filePathRule;
/// Free text of at most 256 bytes without control characters.
extern const TextRule summaryRule;

}
