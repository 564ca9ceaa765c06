#include "Forwarding/RetryBudgets.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Hosts join and leave while others still use their old shares, so only half of the reserve is distributed.
constexpr double usableReserveShare = 0.5;
// The share of the ratio that hosts use. Each host counts the requests that arrive at it, and some of those in the fleet's window have not reached it yet.
constexpr double usableRatioShare = 0.9;
constexpr std::chrono::milliseconds firstBackoff{10};
constexpr std::chrono::milliseconds maxBackoff{200};

}

RetryBudgets::RetryBudgets(std::uint64_t seed)
    : m_limits{0, 1, firstBackoff, maxBackoff}
    , m_random(seed)
{
}

void RetryBudgets::setLimits(double ratio, double fleetReserve, std::size_t hosts)
{
    const double reserve = std::max(1.0, fleetReserve * usableReserveShare / static_cast<double>(std::max<std::size_t>(hosts, 1)));
    m_limits.ratio = ratio * usableRatioShare;
    if (reserve == m_limits.reserve) {
        return;
    }
    m_limits.reserve = reserve;
    for (auto &[service, budget] : m_budgets) {
        budget.setReserve(reserve);
    }
}

RetryBudget &RetryBudgets::of(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_limits).first->second;
}

RandomEngine &RetryBudgets::random()
{
    return m_random;
}

}
