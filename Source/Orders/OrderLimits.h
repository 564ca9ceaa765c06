#pragma once

#include "Base/Time.h"

#include <chrono>
#include <cstddef>

namespace Mangofall::Orders {

/**
 * \class OrderLimits
 * \brief Bounds and times of the order ledger.
 */
struct OrderLimits {
    std::size_t maxHeadBytes = 1'000'000; ///< The store holds values up to 1 MB.
    std::size_t maxInlineBytes = 512; ///< Larger outcome bodies get their own store key.
    std::size_t maxBodyBytes = 900'000; ///< Larger outcome bodies are not kept; only their status is.
    std::size_t maxKeyBytes = 1024; ///< Bound on an order key with organisation and route.
    std::size_t maxBatch = 512; ///< Claims and outcomes per commit.
    std::size_t maxPendingClaims = 4096; ///< Claims that wait for a commit; more are refused.
    std::chrono::milliseconds retention{24 * 60 * 60 * 1000}; ///< Resolved orders are remembered at least this long.
    Duration claimTimeout = std::chrono::seconds(2); ///< A claim that is not durable by then is given up and refused.
    Duration upstreamTimeout = std::chrono::seconds(30); ///< Without an answer by then the status call is asked.
    Duration firstRetryDelay = std::chrono::milliseconds(50); ///< Delay before a store or status call is repeated; doubles.
    Duration maxRetryDelay = std::chrono::seconds(2);
};

}
