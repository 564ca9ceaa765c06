#include "Streams/SessionRegistry.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Mangofall {

SessionRegistry::SessionRegistry(const RegistryLimits &limits)
    : m_limits(limits)
{
}

void SessionRegistry::detach(std::unique_ptr<StreamSession> session, TimePoint now)
{
    const auto replaced = locate(session->request().organisation, session->request().id);
    if (replaced != m_entries.end()) {
        m_replaced.push_back(std::move(replaced->session));
        m_entries.erase(replaced);
    }
    m_entries.push_back({now + m_limits.retentionTime, std::move(session)});
}

std::unique_ptr<StreamSession> SessionRegistry::attach(const OrganisationId &organisation, const RequestId &request)
{
    const auto found = locate(organisation, request);
    if (found == m_entries.end()) {
        return nullptr;
    }
    auto session = std::move(found->session);
    m_entries.erase(found);
    return session;
}

StreamSession *SessionRegistry::find(const OrganisationId &organisation, const RequestId &request)
{
    const auto found = locate(organisation, request);
    return found == m_entries.end() ? nullptr : found->session.get();
}

std::vector<std::unique_ptr<StreamSession>> SessionRegistry::expire(TimePoint now)
{
    auto expired = std::exchange(m_replaced, {});
    std::size_t bytes = bufferedBytes();
    while (!m_entries.empty()) {
        Entry &oldest = m_entries.front();
        if (oldest.expiresAt > now && bytes <= m_limits.maxBytes && m_entries.size() <= m_limits.maxSessions) {
            break;
        }
        bytes -= oldest.session->bufferedBytes();
        expired.push_back(std::move(oldest.session));
        m_entries.pop_front();
    }
    return expired;
}

std::size_t SessionRegistry::size() const
{
    return m_entries.size();
}

std::size_t SessionRegistry::bufferedBytes() const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::size_t{0}, [](std::size_t sum, const Entry &entry) {
        return sum + entry.session->bufferedBytes();
    });
}

SessionRegistry::Entries::iterator SessionRegistry::locate(const OrganisationId &organisation, const RequestId &request)
{
    return std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.session->request().id == request && entry.session->request().organisation == organisation;
    });
}

}
