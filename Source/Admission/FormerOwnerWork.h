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
 * \brief What an upstream's former dispatcher may still run there.
 *
 * Settled means that this is known exactly: from the former owner's list, or, after its death, from a load report that
 * shows no more than the own requests.
 */
class FormerOwnerWork
{
public:
    /// The owner changed; the figures are the former owner's last known ones.
    void began(std::uint32_t requests, std::uint64_t prefillTokens);

    /// Replaces all assumptions by the former owner's list.
    void handedOver(const HandOverMessage &message);

    void ownerDead(TimePoint now);

    /// A report sampled at \p sampledAt. The own count was between \p ownLeast and \p ownGreatest since then.
    void reported(TimePoint sampledAt, std::uint32_t requests, std::uint32_t ownLeast, std::uint32_t ownGreatest);

    /// An attempt of the list ended.
    void finished(const AttemptId &attempt);

    bool settled() const;
    std::uint32_t requests() const;
    std::uint64_t prefillTokens() const;

private:
    bool m_settled = true;
    bool m_listed = false; ///< m_list is exact; otherwise the assumed figures apply.
    std::unordered_map<AttemptId, std::uint64_t> m_list; ///< Prefill tokens.
    std::uint64_t m_prefillTokens = 0;
    std::uint32_t m_assumedRequests = 0;
    std::optional<TimePoint> m_diedAt;
};

}
