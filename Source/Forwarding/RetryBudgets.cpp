#include "Forwarding/RetryBudgets.h"

namespace Mangofall::Forwarding {

namespace {

constexpr std::chrono::milliseconds firstBackoff{10};
constexpr std::chrono::milliseconds maxBackoff{200};

}

RetryBudgets::RetryBudgets(std::uint64_t seed)
    : m_limits{0, 1, firstBackoff, maxBackoff}
    , m_random(seed)
{
}

void RetryBudgets::setShare(const RetryShare &share)
{
    m_limits.ratio = share.ratio;
    m_limits.reserve = share.reserve;
    for (auto &[service, budget] : m_budgets) {
        budget.setRatio(share.ratio);
        budget.setReserve(share.reserve);
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
