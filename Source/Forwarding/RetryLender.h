#pragma once

#include "Base/Ids.h"
#include "Base/RandomEngine.h"
#include "Forwarding/RetryShares.h"
#include "Streams/RetryBudget.h"

#include <map>

namespace Mangofall::Forwarding {

/**
 * \class RetryLender
 * \brief The retries that the owner of a service lends to hosts whose own share of the retry budget is used up.
 *
 * An owner lends only what the requests that it placed itself have earned, and begins without any. So the sum stays within the budget whenever the owner
 * changes, and also while two hosts act as owners at the same time, because each request is placed by one of them.
 */
class RetryLender
{
public:
    explicit RetryLender(std::uint64_t seed);

    void setShare(const RetryShare &share);
    /// Counts a request whose first attempt is placed.
    void countRequest(const ServiceId &service);
    /// Takes a retry for a host in need; returns false if there is none.
    bool lend(const ServiceId &service);
    /// Forgets what was earned. Call this when another host owns the service.
    void forget(const ServiceId &service);

private:
    RetryBudget &budget(const ServiceId &service);

    RetryShare m_share;
    std::map<ServiceId, RetryBudget> m_budgets;
    RandomEngine m_random;
};

}
