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
 * \brief Names one attempt to run a request; unique across hosts and restarts.
 */
struct AttemptId {
    std::uint64_t host = 0; ///< Hash of the entry host's id.
    std::uint64_t incarnation = 0; ///< Incarnation of the entry host's process.
    std::uint64_t sequence = 0; ///< Counter within the process.

    friend bool operator==(const AttemptId &, const AttemptId &) = default;

    // Not defaulted <=>, for the reason given in StrongId.
    friend bool operator<(const AttemptId &left, const AttemptId &right)
    {
        return std::tie(left.host, left.incarnation, left.sequence) < std::tie(right.host, right.incarnation, right.sequence);
    }
};

/// Formats \p id as three hexadecimal numbers joined by dashes.
std::string toString(const AttemptId &id);

/// Parses the format of toString(); empty if \p text has another format.
std::optional<AttemptId> attemptIdFromString(std::string_view text);

}

template<>
struct std::hash<Mangofall::AttemptId> {
    std::size_t operator()(const Mangofall::AttemptId &id) const noexcept;
};
