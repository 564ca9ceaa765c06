#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Mangofall {

/**
 * \class AttemptId
 * \brief Identifier of one attempt of a request; unique across hosts and restarts.
 */
struct AttemptId {
    std::uint64_t host = 0; ///< Hash of the id of the entry host, which received the request from the caller.
    std::uint64_t incarnation = 0; ///< Incarnation of the entry host's process.
    std::uint64_t sequence = 0; ///< Counter within the process.

    friend bool operator==(const AttemptId &, const AttemptId &) = default;

    // A defaulted <=> is not used, for the reason given in StrongId.
    friend bool operator<(const AttemptId &left, const AttemptId &right)
    {
        return std::tie(left.host, left.incarnation, left.sequence) < std::tie(right.host, right.incarnation, right.sequence);
    }
};

/// Formats \p id as three hexadecimal numbers joined by dashes.
std::string toString(const AttemptId &id);

/// Parses the format of toString(); returns no value if \p text has another format.
std::optional<AttemptId> attemptIdFromString(std::string_view text);

}

template<>
struct std::hash<Mangofall::AttemptId> {
    std::size_t operator()(const Mangofall::AttemptId &id) const noexcept;
};
