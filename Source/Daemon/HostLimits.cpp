#include "Daemon/HostLimits.h"

#include <algorithm>

namespace Mangofall {

void HostLimits::setShares(TimePoint now, const FleetConfiguration &configuration, std::size_t hosts)
{
    const std::lock_guard lock(m_mutex);
    m_hosts = std::max<std::size_t>(hosts, 1);
    for (const auto &[id, organisation] : configuration.organisations) {
        // A share of 0 would mean no limit, so a limit below one token per host is rounded up to 1.
        const std::uint64_t tokens = organisation.tokensInFlight == 0 ? 0 : std::max<std::uint64_t>(organisation.tokensInFlight / m_hosts, 1);
        m_limiter.setShare(now, id, organisation.requestsPerSecond / static_cast<double>(m_hosts), tokens);
    }
}

ErrorKind HostLimits::admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens)
{
    const std::lock_guard lock(m_mutex);
    const ErrorKind kind = m_limiter.admit(now, organisation, promptTokens);
    if (kind != ErrorKind::None) {
        ++m_refused[organisation];
    }
    return kind;
}

void HostLimits::release(const OrganisationId &organisation, std::uint64_t promptTokens)
{
    const std::lock_guard lock(m_mutex);
    m_limiter.release(organisation, promptTokens);
}

std::uint64_t HostLimits::tokensInFlight(const OrganisationId &organisation) const
{
    const std::lock_guard lock(m_mutex);
    return m_limiter.tokensInFlight(organisation);
}

std::uint64_t HostLimits::refused(const OrganisationId &organisation) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_refused.find(organisation);
    return position == m_refused.end() ? 0 : position->second;
}

std::size_t HostLimits::hosts() const
{
    const std::lock_guard lock(m_mutex);
    return m_hosts;
}

HostLimits::Admission::Admission(HostLimits &limits, OrganisationId organisation, std::uint64_t promptTokens)
    : m_limits(limits)
    , m_organisation(std::move(organisation))
    , m_promptTokens(promptTokens)
{
}

HostLimits::Admission::~Admission()
{
    m_limits.release(m_organisation, m_promptTokens);
}

}
