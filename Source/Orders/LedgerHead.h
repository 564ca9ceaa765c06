#pragma once

#include "Orders/OrderRecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Mangofall::Orders {

/**
 * \class LedgerHead
 * \brief The value of a shard's store key: the owner of the shard and the records of all its remembered orders.
 *
 * Records are kept in encoded form, so that a commit encodes only the records that it changes.
 */
struct LedgerHead {
    Epoch epoch = 0;
    std::string writer; ///< Process that wrote this head; writer, epoch and commit together identify the write.
    std::uint64_t commit = 0; ///< Number of this write within the epoch.
    std::chrono::milliseconds clock{0}; ///< Ledger time of this write: the time that all owners together have counted on their steady clocks.
    std::unordered_map<OrderKey, std::string> records; ///< Encoded by encodeRecord().

    /// Whether both heads come from the same write.
    bool sameWrite(const LedgerHead &other) const;
};

/// Upper bound of the size in bytes of an encoded head without records.
constexpr std::size_t headOverheadBytes = 512;

/// Upper bound of the bytes that an encoded head needs for each record in addition to the encoded record itself.
constexpr std::size_t recordOverheadBytes = 5;

/// Encodes \p head as CBOR.
std::string encodeHead(const LedgerHead &head);

/// Decodes the format of encodeHead(); empty if \p data has another format.
std::optional<LedgerHead> decodeHead(std::string_view data);

}
