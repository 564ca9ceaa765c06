#include "Admission/FormerOwnerWork.h"

#include <algorithm>

namespace Mangofall {

void FormerOwnerWork::began(std::uint32_t requests, std::uint64_t prefillTokens)
{
    *this = FormerOwnerWork();
    m_settled = false;
    m_assumedRequests = requests;
    m_prefillTokens = prefillTokens;
}

void FormerOwnerWork::handedOver(const HandOverMessage &message)
{
    m_list.clear();
    m_prefillTokens = 0;
    for (const HandOverMessage::Item &item : message.inFlight) {
        if (m_list.emplace(item.attempt, item.prefillTokens).second) {
            m_prefillTokens += item.prefillTokens;
        }
    }
    m_assumedRequests = 0;
    m_listed = true;
    m_settled = true;
}

void FormerOwnerWork::ownerDead(TimePoint now)
{
    m_diedAt = now;
}

void FormerOwnerWork::reported(TimePoint sampledAt, std::uint32_t requests, std::uint32_t ownLeast, std::uint32_t ownGreatest)
{
    if (m_settled && !m_listed) {
        return;
    }
    if (m_diedAt && sampledAt >= *m_diedAt) {
        if (requests <= ownLeast) {
            *this = FormerOwnerWork();
        } else if (!m_listed) {
            m_assumedRequests = requests - ownLeast;
        }
        return;
    }
    if (!m_listed && requests > ownGreatest) {
        m_assumedRequests = std::max(m_assumedRequests, requests - ownGreatest);
    }
}

void FormerOwnerWork::finished(const AttemptId &attempt)
{
    if (const auto entry = m_list.find(attempt); entry != m_list.end()) {
        m_prefillTokens -= entry->second;
        m_list.erase(entry);
    }
}

bool FormerOwnerWork::settled() const
{
    return m_settled;
}

std::uint32_t FormerOwnerWork::requests() const
{
    return m_assumedRequests + static_cast<std::uint32_t>(m_list.size());
}

std::uint64_t FormerOwnerWork::prefillTokens() const
{
    return m_prefillTokens;
}

}
