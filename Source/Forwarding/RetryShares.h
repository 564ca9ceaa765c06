#pragma once

#include <cstddef>

namespace Mangofall::Forwarding {

/// A part of the retry budget of the fleet.
struct RetryShare {
    double ratio = 0; ///< Retries per counted request.
    double reserve = 0; ///< Largest number of saved retries.

    friend bool operator==(const RetryShare &, const RetryShare &) = default;
};

/// How the retry budget of a service is divided. The sum over all hosts and owners stays within the budget of the fleet.
struct RetryShares {
    RetryShare own; ///< What each host uses by itself, counted over the requests that arrive at it.
    RetryShare lent; ///< What the owner of the service lends to hosts in need, counted over the requests that it places.
};

/// Divides a budget of \p ratio retries per request and \p fleetReserve further ones between \p hosts hosts and the owner.
RetryShares divideRetryBudget(double ratio, double fleetReserve, std::size_t hosts);

}
