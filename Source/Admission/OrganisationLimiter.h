#pragma once

#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace Mangofall {

/**
 * \class OrganisationLimiter
 * \brief Applies this host's share of the organisations' limits: a token bucket for the request rate and a cap on prompt
 * tokens in flight.
 */
class OrganisationLimiter
{
public:
    /// Sets the share of \p organisation; 0 means no limit. The bucket's capacity is one second's requests, at least one.
    void setShare(TimePoint now, const OrganisationId &organisation, double requestsPerSecond, std::uint64_t tokensInFlight);

    /// Admits the request and returns None, or returns RateLimited and leaves the counts unchanged.
    ErrorKind admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens);

    /// Records the end of an admitted request of \p promptTokens.
    void release(const OrganisationId &organisation, std::uint64_t promptTokens);

    /// The prompt tokens of \p organisation that are in flight.
    std::uint64_t tokensInFlight(const OrganisationId &organisation) const;

private:
    struct Account {
        double requestsPerSecond = 0;
        std::uint64_t tokenLimit = 0;
        double availableRequests = 0; ///< Requests in the bucket.
        TimePoint refilledAt;
        std::uint64_t tokens = 0; ///< Prompt tokens in flight.

        double capacity() const;
        void refill(TimePoint now);
    };

    std::unordered_map<OrganisationId, Account> m_accounts;
};

}
