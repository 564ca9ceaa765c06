#pragma once

#include "Admission/HandOverMessage.h"
#include "Base/AttemptId.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Mangofall {

/**
 * \class FormerOwnerWork
 * \brief The attempts of an upstream's former owner that may still run at the upstream.
 *
 * They are known exactly once the former owner's list has arrived or, after the former owner's death, once a load report
 * shows no more requests than this host has sent.
 */
class FormerOwnerWork
{
public:
    /// Starts with what the former owner last reported about its requests and their prompt tokens in prefill.
    void beginTakeover(std::uint32_t requests, std::uint64_t prefillTokens);

    /// Replaces the assumed values by the former owner's list.
    void applyHandOver(const HandOverMessage &message);

    void recordOwnerDeath(TimePoint now);

    /// Records that the upstream ran \p requests at \p sampledAt. Since then between \p ownMinimum and \p ownMaximum
    /// requests of this host were in flight.
    void recordLoadReport(TimePoint sampledAt, std::uint32_t requests, std::uint32_t ownMinimum, std::uint32_t ownMaximum);

    /// Records the end of \p attempt; ignored if it is not in the list.
    void recordEnd(const AttemptId &attempt);

    /// Whether the remaining work is known exactly.
    bool isKnown() const;
    std::uint32_t requests() const;
    std::uint64_t prefillTokens() const;

private:
    bool m_known = true;
    bool m_hasList = false; ///< Whether m_list is in use; otherwise the assumed values are.
    std::unordered_map<AttemptId, std::uint64_t> m_list; ///< Value: prompt tokens in prefill.
    std::uint64_t m_prefillTokens = 0;
    std::uint32_t m_assumedRequests = 0;
    std::optional<TimePoint> m_ownerDiedAt;
};

}
