#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>

namespace Mangofall {

/**
 * \class RetryLimits
 * \brief Number of retries that a pool of upstreams allows, and the backoff before each.
 */
struct RetryLimits {
    double ratio = 0.1; ///< Retries earned by each first attempt.
    double reserve = 10; ///< Maximum number of saved retries; also the number allowed before any first attempt.
    Duration firstBackoff = std::chrono::milliseconds(50); ///< Upper bound of the backoff before the first retry; doubles with each retry.
    Duration maxBackoff = std::chrono::seconds(2); ///< Upper bound of every backoff.
};

/**
 * \class RetryBudget
 * \brief Limits the retries of one pool of upstreams to a fraction of its first attempts.
 *
 * In any period, the number of retries is at most ratio * first attempts + reserve.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits);

    /// Changes the ratio; credit already earned is kept.
    void setRatio(double ratio);
    /// Changes the reserve; credit above it is lost.
    void setReserve(double reserve);
    /// Adds the credit that a request's first attempt earns.
    void countFirstAttempt();
    /// Takes one retry from the budget and returns the backoff before it; empty if the budget is exhausted.
    /// \p retry is the number of the request's retry, from 1.
    std::optional<Duration> takeRetry(std::uint32_t retry, RandomEngine &random);

    /// Number of retries taken.
    std::uint64_t retries() const;
    /// Number of retries refused because the budget was exhausted.
    std::uint64_t refusals() const;

private:
    RetryLimits m_limits;
    double m_credit; ///< Retries that may be taken now, with fractions.
    std::uint64_t m_retries = 0;
    std::uint64_t m_refusals = 0;
};

}
