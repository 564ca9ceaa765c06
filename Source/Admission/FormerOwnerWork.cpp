#include "Admission/FormerOwnerWork.h"

#include <algorithm>

namespace Mangofall {

void FormerOwnerWork::beginTakeover(std::uint32_t requests, std::uint64_t prefillTokens)
{
    *this = FormerOwnerWork();
    m_known = false;
    m_assumedRequests = requests;
    m_prefillTokens = prefillTokens;
}

void FormerOwnerWork::applyHandOver(const HandOverMessage &message)
{
    m_list.clear();
    m_prefillTokens = 0;
    for (const HandOverMessage::Item &item : message.inFlight) {
        if (m_list.emplace(item.attempt, item.prefillTokens).second) {
            m_prefillTokens += item.prefillTokens;
        }
    }
    m_assumedRequests = 0;
    m_hasList = true;
    m_known = true;
}

void FormerOwnerWork::recordOwnerDeath(TimePoint now)
{
    m_ownerDiedAt = now;
}

void FormerOwnerWork::recordLoadReport(TimePoint sampledAt, std::uint32_t requests, std::uint32_t ownMinimum, std::uint32_t ownMaximum)
{
    if (m_known && !m_hasList) {
        return;
    }
    if (m_ownerDiedAt && sampledAt >= *m_ownerDiedAt) {
        if (requests <= ownMinimum) {
            *this = FormerOwnerWork();
        } else if (!m_hasList) {
            m_assumedRequests = requests - ownMinimum;
        }
        return;
    }
    if (!m_hasList && requests > ownMaximum) {
        m_assumedRequests = std::max(m_assumedRequests, requests - ownMaximum);
    }
}

void FormerOwnerWork::recordEnd(const AttemptId &attempt)
{
    if (const auto entry = m_list.find(attempt); entry != m_list.end()) {
        m_prefillTokens -= entry->second;
        m_list.erase(entry);
    }
}

bool FormerOwnerWork::isKnown() const
{
    return m_known;
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
