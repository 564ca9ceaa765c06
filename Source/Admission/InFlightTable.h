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
 * \brief The attempts that a dispatcher has sent and that have not ended at the upstream, with their exact totals.
 */
class InFlightTable
{
public:
    struct Entry {
        QueuedAttempt attempt;
        TimePoint sentAt;
        Duration latencyLimit{0}; ///< Time to the first token above which the attempt counts as overload; 0 means no limit.
        bool prefilling = true;
        bool goodLatency = true; ///< The first token has not exceeded latencyLimit.
        std::optional<TimePoint> firstTokenAt;
        std::optional<TimePoint> cancelledAt;
    };

    void add(const Entry &entry);

    /// The entry of \p attempt; null if it is not in flight. All fields but attempt and prefilling may be changed.
    Entry *find(const AttemptId &attempt);

    /// Removes \p attempt from the prefill totals; returns whether it was in prefill.
    bool endPrefill(const AttemptId &attempt);

    std::optional<Entry> remove(const AttemptId &attempt);

    std::uint32_t size() const;
    std::uint64_t prefillTokens(LengthClass lengthClass) const;
    std::uint64_t prefillTokens() const;

    /// The number of attempts of \p lengthClass that are in prefill.
    std::uint32_t prefilling(LengthClass lengthClass) const;

    /// The estimated prompt tokens of all attempts, which are the KV memory that they need, in tokens.
    std::uint64_t promptTokens() const;

    const std::unordered_map<AttemptId, Entry> &entries() const;

private:
    std::unordered_map<AttemptId, Entry> m_entries;
    PerClass<std::uint64_t> m_prefillTokens{};
    PerClass<std::uint32_t> m_prefilling{};
    std::uint64_t m_promptTokens = 0;
};

}
