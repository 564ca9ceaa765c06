#include "Forwarding/AnswerMemory.h"

#include <utility>

namespace Mangofall::Forwarding {

AnswerMemory::AnswerMemory(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t AnswerMemory::usedBytes() const
{
    return m_usedBytes;
}

void AnswerMemory::enforceLimit()
{
    while (m_usedBytes > m_limitBytes) {
        Share *largest = nullptr;
        for (Share *share : m_shares) {
            const bool larger = largest == nullptr || share->m_bytes > largest->m_bytes;
            largest = !share->m_complete && share->m_bytes > 0 && larger ? share : largest;
        }
        if (largest == nullptr) {
            return;
        }
        largest->revoke();
    }
}

AnswerMemory::Share::Share(AnswerMemory &memory, std::function<void()> revoked)
    : m_memory(memory)
    , m_revoked(std::move(revoked))
{
    m_memory.m_shares.insert(this);
}

AnswerMemory::Share::~Share()
{
    m_memory.m_usedBytes -= m_bytes;
    m_memory.m_shares.erase(this);
}

bool AnswerMemory::Share::resize(std::size_t bytes)
{
    if (m_isRevoked) {
        return false;
    }
    m_memory.m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    m_memory.enforceLimit();
    return !m_isRevoked;
}

void AnswerMemory::Share::complete()
{
    m_complete = true;
}

bool AnswerMemory::Share::isRevoked() const
{
    return m_isRevoked;
}

void AnswerMemory::Share::revoke()
{
    m_memory.m_usedBytes -= m_bytes;
    m_bytes = 0;
    m_isRevoked = true;
    m_revoked();
}

}
