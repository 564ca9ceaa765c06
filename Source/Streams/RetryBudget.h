#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>

namespace Mangofall {

/**
 * \class RetryLimits
 * \brief How many retries a pool of upstreams allows and how long they wait.
 */
struct RetryLimits {
    double ratio = 0.1; ///< Retries per first attempt.
    double reserve = 10; ///< Most retries saved up; also those allowed before the first attempt.
    Duration firstBackoff = std::chrono::milliseconds(50); ///< Upper bound of the first wait; doubles with each retry.
    Duration maxBackoff = std::chrono::seconds(2);
};

/**
 * \class RetryBudget
 * \brief Bounds the retries of one pool of upstreams to a ratio of its first attempts.
 *
 * Over any period the retries are at most ratio * first attempts + reserve.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits);

    /// Adopts a changed ratio; credit already earned stays.
    void setRatio(double ratio);
    /// Adopts a changed reserve; credit above it is lost.
    void setReserve(double reserve);
    void countFirstAttempt();
    /// Takes one retry from the budget and returns how long to wait before it; empty if the budget is spent.
    /// \p retry is 1 for a request's first retry.
    std::optional<Duration> takeRetry(std::uint32_t retry, RandomEngine &random);

    std::uint64_t retries() const;
    std::uint64_t refusals() const;

private:
    RetryLimits m_limits;
    double m_credit;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refusals = 0;
};

}
