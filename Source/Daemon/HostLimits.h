#pragma once

#include "Admission/OrganisationLimiter.h"
#include "Config/FleetConfiguration.h"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace Mangofall {

/**
 * \class HostLimits
 * \brief Enforces this host's shares of the organisations' limits; shared by all of its traffic threads.
 *
 * The lock is taken when a request is admitted and released, never per token. The fleet-wide limit is divided equally between the hosts that are
 * not known to be dead, so the sum of the shares exceeds it only while hosts disagree about a host that has just joined.
 */
class HostLimits
{
public:
    /// Sets the shares of this host: the limits in \p configuration divided by the number \p hosts of hosts.
    void setShares(TimePoint now, const FleetConfiguration &configuration, std::size_t hosts);

    /// Returns None and counts the request as in flight, or returns RateLimited and counts the refusal.
    ErrorKind admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens);
    void release(const OrganisationId &organisation, std::uint64_t promptTokens);

    std::uint64_t tokensInFlight(const OrganisationId &organisation) const;
    std::uint64_t refused(const OrganisationId &organisation) const;
    std::size_t hosts() const;

    /// Scope guard that releases an admitted request when it is destroyed.
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
