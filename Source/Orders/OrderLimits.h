#pragma once

#include "Base/Time.h"

#include <chrono>
#include <cstddef>

namespace Mangofall::Orders {

/**
 * \class OrderLimits
 * \brief Size limits and timeouts of the order ledger.
 */
struct OrderLimits {
    std::size_t maxHeadBytes = 1'000'000; ///< Limit on the encoded head; the store accepts values of up to 1 MB.
    std::size_t maxInlineBytes = 512; ///< Larger outcome bodies are stored under a key of their own.
    std::size_t maxBodyBytes = 900'000; ///< Larger outcome bodies are not stored; only the rest of the outcome is.
    std::size_t maxKeyBytes = 1024; ///< Limit on an order key, which includes organisation and route.
    std::size_t maxBatch = 512; ///< Maximum number of claims and resolutions in one commit.
    std::size_t maxPendingClaims = 4096; ///< Maximum number of claims that wait for a commit; further ones are refused.
    std::chrono::milliseconds retention{24 * 60 * 60 * 1000}; ///< Resolved orders are remembered for at least this time.
    Duration claimTimeout = std::chrono::seconds(2); ///< A claim that is not durable after this time is withdrawn and the order refused.
    Duration upstreamTimeout = std::chrono::seconds(30); ///< After this time without an answer the status call is used.
    Duration firstRetryDelay = std::chrono::milliseconds(50); ///< Delay before the first retry of a store or status call; doubles with each retry.
    Duration maxRetryDelay = std::chrono::seconds(2); ///< Upper bound of the delay before a retry.
};

}
