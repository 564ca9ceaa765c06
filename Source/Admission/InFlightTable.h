#pragma once

#include "Admission/QueuedAttempt.h"
#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Mangofall {

/**
 * \class InFlightTable
 * \brief The attempts that a dispatcher has sent and that have not ended at the upstream, with exact sums.
 */
class InFlightTable
{
public:
    struct Entry {
        QueuedAttempt attempt;
        TimePoint sentAt;
        Duration latencyLimit{0}; ///< A later first token counts as overload; 0 means no limit.
        bool prefilling = true;
        bool goodLatency = true;
        std::optional<TimePoint> firstTokenAt;
        std::optional<TimePoint> cancelledAt;
    };

    void add(const Entry &entry);

    /// Null if \p attempt is not in flight. The caller may change all but the attempt and prefilling.
    Entry *find(const AttemptId &attempt);

    /// Takes \p attempt out of the prefill sums; returns whether it was in prefill.
    bool endPrefill(const AttemptId &attempt);

    std::optional<Entry> remove(const AttemptId &attempt);

    std::uint32_t size() const;
    std::uint64_t prefillTokens(LengthClass lengthClass) const;
    std::uint64_t prefillTokens() const;

    /// Attempts of \p lengthClass without a first token.
    std::uint32_t prefilling(LengthClass lengthClass) const;

    /// Estimated prompt tokens of all attempts: the KV memory they need.
    std::uint64_t promptTokens() const;

    const std::unordered_map<AttemptId, Entry> &entries() const;

private:
    std::unordered_map<AttemptId, Entry> m_entries;
    PerClass<std::uint64_t> m_prefillTokens{};
    PerClass<std::uint32_t> m_prefilling{};
    std::uint64_t m_promptTokens = 0;
};

}
