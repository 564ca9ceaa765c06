#pragma once

#include "Orders/OrderClaim.h"
#include "Orders/OrderResolution.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall::Orders {

/// Number of a shard owner's term; each new owner writes a higher number.
using Epoch = std::uint64_t;

/**
 * \class OrderRecord
 * \brief The durable state of one order.
 *
 * An order without resolution may have been sent. It is in progress while the owner of its epoch is alive; after that its
 * outcome is unknown.
 */
struct OrderRecord {
    OrderClaim claim; ///< After the resolution only key and body hash are kept.
    Epoch epoch = 0; ///< Term in which the order was claimed.
    std::chrono::milliseconds time{0}; ///< Ledger time of the resolution, or of the claim while unresolved.
    std::optional<OrderResolution> resolution;

    friend bool operator==(const OrderRecord &, const OrderRecord &) = default;
};

/// Encodes \p record as CBOR.
std::string encodeRecord(const OrderRecord &record);

/// Decodes the format of encodeRecord(); empty if \p data has another format.
std::optional<OrderRecord> decodeRecord(std::string_view data);

}
