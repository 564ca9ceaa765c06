#include "Forwarding/RetryLender.h"

namespace Mangofall::Forwarding {

RetryLender::RetryLender(std::uint64_t seed)
    : m_random(seed)
{
}

void RetryLender::setShare(const RetryShare &share)
{
    if (share == m_share) {
        return;
    }
    m_share = share;
    for (auto &[service, budget] : m_budgets) {
        budget.setRatio(share.ratio);
        budget.setReserve(share.reserve);
    }
}

void RetryLender::countRequest(const ServiceId &service)
{
    budget(service).countFirstAttempt();
}

bool RetryLender::lend(const ServiceId &service)
{
    return budget(service).takeRetry(1, m_random).has_value();
}

void RetryLender::forget(const ServiceId &service)
{
    m_budgets.erase(service);
}

RetryBudget &RetryLender::budget(const ServiceId &service)
{
    const auto known = m_budgets.find(service);
    if (known != m_budgets.end()) {
        return known->second;
    }
    // A budget begins with its whole reserve; this one has earned nothing yet.
    RetryLimits limits;
    limits.ratio = m_share.ratio;
    limits.reserve = 0;
    RetryBudget &created = m_budgets.emplace(service, RetryBudget(limits)).first->second;
    created.setReserve(m_share.reserve);
    return created;
}

}
