#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
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

    /// Sets the limits of the whole fleet: retries per first attempt and a reserve, of which each of \p hosts hosts gets an equal share.
    void setLimits(double ratio, double fleetReserve, std::size_t hosts);

    /// The budget of \p service on this host.
    RetryBudget &of(const ServiceId &service);
    RandomEngine &random();

private:
    RetryLimits m_limits;
    std::map<ServiceId, RetryBudget> m_budgets;
    RandomEngine m_random;
};

}
