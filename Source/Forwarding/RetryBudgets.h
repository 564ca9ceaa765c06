#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
#include "Forwarding/RetryShares.h"
#include "Streams/RetryBudget.h"

#include <map>

namespace Mangofall::Forwarding {

/**
 * \class RetryBudgets
 * \brief This host's share of the retry budget of each service.
 */
class RetryBudgets
{
public:
    explicit RetryBudgets(std::uint64_t seed);

    /// Sets the share that this host uses by itself.
    void setShare(const RetryShare &share);

    /// The budget of \p service on this host.
    RetryBudget &of(const ServiceId &service);
    RandomEngine &random();

private:
    RetryLimits m_limits;
    std::map<ServiceId, RetryBudget> m_budgets;
    RandomEngine m_random;
};

}
