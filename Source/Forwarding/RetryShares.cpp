#include "Forwarding/RetryShares.h"

#include <algorithm>

namespace Mangofall::Forwarding {

namespace {

// Hosts join and leave while others still use their old shares, so only half of the reserve is distributed.
constexpr double ownReserveShare = 0.5;
// What an owner has saved stays unused when another one takes over; two owners that act at the same time stay within the other half of the reserve.
constexpr double lentReserveShare = 0.2;
// Some of the requests that hosts have counted have not reached the window of the fleet yet, so that a tenth of the ratio is not used.
constexpr double usableRatioShare = 0.9;
constexpr double ownRatioShare = 0.5;
// A host whose share of the reserve is smaller than one retry could save no whole retry without exceeding it, so that all retries are lent.
constexpr double leastReserve = 1;

}

RetryShares divideRetryBudget(double ratio, double fleetReserve, std::size_t hosts)
{
    const double ownReserve = fleetReserve * ownReserveShare / static_cast<double>(std::max<std::size_t>(hosts, 1));
    RetryShares shares;
    if (ownReserve >= leastReserve) {
        shares.own = {ratio * ownRatioShare, ownReserve};
    }
    shares.lent = {ratio * usableRatioShare - shares.own.ratio, fleetReserve * lentReserveShare};
    return shares;
}

}
