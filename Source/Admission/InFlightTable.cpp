#include "Admission/InFlightTable.h"

#include <numeric>

namespace Mangofall {

void InFlightTable::add(const Entry &entry)
{
    if (!m_entries.emplace(entry.attempt.attempt, entry).second) {
        return;
    }
    m_promptTokens += entry.attempt.promptTokens;
    const std::size_t index = indexOf(entry.attempt.lengthClass);
    m_prefillTokens[index] += entry.attempt.uncachedTokens;
    ++m_prefilling[index];
}

InFlightTable::Entry *InFlightTable::find(const AttemptId &attempt)
{
    const auto entry = m_entries.find(attempt);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

bool InFlightTable::endPrefill(const AttemptId &attempt)
{
    Entry *entry = find(attempt);
    if (entry == nullptr || !entry->prefilling) {
        return false;
    }
    entry->prefilling = false;
    const std::size_t index = indexOf(entry->attempt.lengthClass);
    m_prefillTokens[index] -= entry->attempt.uncachedTokens;
    --m_prefilling[index];
    return true;
}

std::optional<InFlightTable::Entry> InFlightTable::remove(const AttemptId &attempt)
{
    endPrefill(attempt);
    const auto position = m_entries.find(attempt);
    if (position == m_entries.end()) {
        return std::nullopt;
    }
    const Entry entry = position->second;
    m_promptTokens -= entry.attempt.promptTokens;
    m_entries.erase(position);
    return entry;
}

std::uint32_t InFlightTable::size() const
{
    return static_cast<std::uint32_t>(m_entries.size());
}

std::uint64_t InFlightTable::prefillTokens(LengthClass lengthClass) const
{
    return m_prefillTokens[indexOf(lengthClass)];
}

std::uint64_t InFlightTable::prefillTokens() const
{
    return std::accumulate(m_prefillTokens.begin(), m_prefillTokens.end(), std::uint64_t{0});
}

std::uint32_t InFlightTable::prefilling(LengthClass lengthClass) const
{
    return m_prefilling[indexOf(lengthClass)];
}

std::uint64_t InFlightTable::promptTokens() const
{
    return m_promptTokens;
}

const std::unordered_map<AttemptId, InFlightTable::Entry> &InFlightTable::entries() const
{
    return m_entries;
}

}
