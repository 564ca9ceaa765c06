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

    /// The fleet's limits; each of \p hosts hosts takes an equal share of the reserve.
    void setLimits(double ratio, double fleetReserve, std::size_t hosts);

    RetryBudget &of(const ServiceId &service);
    RandomEngine &random();

private:
    RetryLimits m_limits;
    std::map<ServiceId, RetryBudget> m_budgets;
    RandomEngine m_random;
};

}
