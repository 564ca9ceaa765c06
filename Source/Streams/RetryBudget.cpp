#include "Streams/RetryBudget.h"

#include <algorithm>
#include <random>

namespace Mangofall {

namespace {

// A first backoff that is doubled more often than this exceeds every sensible maxBackoff.
constexpr std::uint32_t maxDoublings = 20;

}

RetryBudget::RetryBudget(const RetryLimits &limits)
    : m_limits(limits)
    , m_credit(limits.reserve)
{
}

void RetryBudget::setRatio(double ratio)
{
    m_limits.ratio = ratio;
}

void RetryBudget::setReserve(double reserve)
{
    m_limits.reserve = reserve;
    m_credit = std::min(m_credit, reserve);
}

void RetryBudget::countFirstAttempt()
{
    m_credit = std::min(m_limits.reserve, m_credit + m_limits.ratio);
}

std::optional<Duration> RetryBudget::takeRetry(std::uint32_t retry, RandomEngine &random)
{
    if (m_credit < 1) {
        ++m_refusals;
        return std::nullopt;
    }
    m_credit -= 1;
    ++m_retries;
    const std::uint32_t doublings = std::min(std::max(retry, 1U) - 1, maxDoublings);
    const Duration bound = std::min(m_limits.maxBackoff, m_limits.firstBackoff * (std::int64_t{1} << doublings));
    // Full jitter spreads the retries of requests that failed at the same time.
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random));
}

std::uint64_t RetryBudget::retries() const
{
    return m_retries;
}

std::uint64_t RetryBudget::refusals() const
{
    return m_refusals;
}

}
