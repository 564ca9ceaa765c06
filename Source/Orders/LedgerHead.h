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
 * \brief The value of a shard's store key: who owns the shard and all orders it remembers.
 *
 * Records are held encoded, so that a commit encodes only the records it changes.
 */
struct LedgerHead {
    Epoch epoch = 0;
    std::string writer; ///< Process that wrote this head; with epoch and commit it names the write.
    std::uint64_t commit = 0; ///< Counter of writes within the epoch.
    std::chrono::milliseconds clock{0}; ///< Ledger time: the sum of the owners' steady time up to this write.
    std::unordered_map<OrderKey, std::string> records; ///< Encoded by encodeRecord().

    /// Whether both heads are the same write.
    bool sameWrite(const LedgerHead &other) const;
};

/// Bytes of an encoded head without records, at most.
constexpr std::size_t headOverheadBytes = 512;

/// Bytes that a record adds to an encoded head beside its own encoding, at most.
constexpr std::size_t recordOverheadBytes = 5;

/// Encodes \p head as CBOR.
std::string encodeHead(const LedgerHead &head);

/// Decodes encodeHead()'s format; empty if \p data has another format.
std::optional<LedgerHead> decodeHead(std::string_view data);

}
