#include "Base/AttemptId.h"

#include <array>
#include <charconv>

namespace Mangofall {

namespace {

constexpr int hexBase = 16;
constexpr std::size_t maxHexDigits = 16;

void appendHex(std::string &text, std::uint64_t value)
{
    std::array<char, maxHexDigits> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    text.append(digits.data(), result.ptr);
}

bool consumeHex(std::string_view &text, std::uint64_t &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    if (result.ec != std::errc()) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return true;
}

bool consumeDash(std::string_view &text)
{
    if (!text.starts_with('-')) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

}

std::string toString(const AttemptId &id)
{
    std::string text;
    appendHex(text, id.host);
    text += '-';
    appendHex(text, id.incarnation);
    text += '-';
    appendHex(text, id.sequence);
    return text;
}

std::optional<AttemptId> attemptIdFromString(std::string_view text)
{
    AttemptId id;
    const bool valid = consumeHex(text, id.host) && consumeDash(text) && consumeHex(text, id.incarnation) && consumeDash(text) && consumeHex(text, id.sequence);
    if (!valid || !text.empty()) {
        return std::nullopt;
    }
    return id;
}

}

std::size_t std::hash<Mangofall::AttemptId>::operator()(const Mangofall::AttemptId &id) const noexcept
{
    // Multiplying by the 64-bit golden ratio spreads consecutive sequence numbers over the hash table.
    constexpr std::uint64_t goldenRatio = 0x9E3779B97F4A7C15ULL;
    return (id.host ^ (id.incarnation * goldenRatio)) + id.sequence * goldenRatio;
}
