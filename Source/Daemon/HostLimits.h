#pragma once

#include "Admission/OrganisationLimiter.h"
#include "Config/FleetConfiguration.h"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace Mangofall {

/**
 * \class HostLimits
 * \brief This host's shares of the organisations' limits, used by all of its traffic threads.
 *
 * A lock is taken once per request, never per token. The fleet-wide limit is divided equally between the hosts that are
 * not known to be dead, so the sum exceeds it only while hosts disagree about a host that has just joined.
 */
class HostLimits
{
public:
    void setShares(TimePoint now, const FleetConfiguration &configuration, std::size_t hosts);

    /// Returns None and counts the request, or returns RateLimited and counts the refusal.
    ErrorKind admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens);
    void release(const OrganisationId &organisation, std::uint64_t promptTokens);

    std::uint64_t tokensInFlight(const OrganisationId &organisation) const;
    std::uint64_t refused(const OrganisationId &organisation) const;
    std::size_t hosts() const;

    /// Counts an admitted request until it is destroyed.
    class Admission
    {
    public:
        Admission(HostLimits &limits, OrganisationId organisation, std::uint64_t promptTokens);
        ~Admission();
        Admission(const Admission &) = delete;
        Admission &operator=(const Admission &) = delete;

    private:
        HostLimits &m_limits;
        OrganisationId m_organisation;
        std::uint64_t m_promptTokens;
    };

private:
    mutable std::mutex m_mutex;
    OrganisationLimiter m_limiter;
    std::unordered_map<OrganisationId, std::uint64_t> m_refused;
    std::size_t m_hosts = 1;
};

}
