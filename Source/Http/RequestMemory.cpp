#include "Http/RequestMemory.h"

namespace Mangofall {

namespace {

constexpr std::size_t reserveDivisor = 4;

}

RequestMemory::RequestMemory(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t RequestMemory::usedBytes() const
{
    return m_usedBytes;
}

bool RequestMemory::hasRoom(std::size_t addedBytes, std::size_t requestBytes) const
{
    const std::size_t reserve = requestBytes <= smallRequestBytes ? m_limitBytes / reserveDivisor : 0;
    return m_usedBytes + addedBytes <= m_limitBytes + reserve;
}

RequestMemory::Share::Share(RequestMemory *memory)
    : m_memory(memory)
{
}

RequestMemory::Share::~Share()
{
    if (m_memory != nullptr) {
        m_memory->m_usedBytes -= m_bytes;
    }
}

bool RequestMemory::Share::grow(std::size_t bytes)
{
    if (m_memory == nullptr || bytes <= m_bytes) {
        return true;
    }
    if (!m_memory->hasRoom(bytes - m_bytes, bytes)) {
        return false;
    }
    m_memory->m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    return true;
}

}
