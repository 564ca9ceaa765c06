#pragma once

#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace Mangofall {

/**
 * \class OrganisationLimiter
 * \brief This host's share of the organisations' limits: a token bucket of requests and a bound of prompt tokens in flight.
 */
class OrganisationLimiter
{
public:
    /// Sets \p organisation's share; 0 means no limit. The bucket holds one second's requests, at least one.
    void setShare(TimePoint now, const OrganisationId &organisation, double requestsPerSecond, std::uint64_t tokensInFlight);

    /// Returns None and counts the request, or returns RateLimited and counts nothing.
    ErrorKind admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens);

    /// An admitted request of \p promptTokens ended.
    void release(const OrganisationId &organisation, std::uint64_t promptTokens);

    /// Prompt tokens in flight.
    std::uint64_t tokensInFlight(const OrganisationId &organisation) const;

private:
    struct Account {
        double requestsPerSecond = 0;
        std::uint64_t tokenLimit = 0;
        double available = 0; ///< Requests in the bucket.
        TimePoint refilled;
        std::uint64_t tokens = 0;

        double capacity() const;
        void refill(TimePoint now);
    };

    std::unordered_map<OrganisationId, Account> m_accounts;
};

}
