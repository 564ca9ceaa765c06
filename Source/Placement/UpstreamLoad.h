#pragma once

#include "Placement/ColdShare.h"
#include "Placement/EngineHold.h"
#include "Placement/EngineSpec.h"
#include "Placement/FailureRecord.h"
#include "Placement/Lateness.h"
#include "Placement/PlacementRequest.h"
#include "Placement/RateWindow.h"
#include "Placement/UnknownLoad.h"
#include "Placement/UpstreamEntry.h"
#include "Placement/UpstreamNotice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class GrantLoad
 * \brief The load that one grant puts on one upstream: a whole request, or a helper's part of the prefill.
 */
struct GrantLoad {
    bool helper = false;
    bool prefilling = true; ///< Whether the first event of the answer is still awaited.
    std::uint64_t promptTokens = 0;
    std::uint64_t memoryTokens = 0; ///< KV memory in use here at the end of the answer, in tokens.
    Duration pauseLimit{};
    Duration prefillTime{}; ///< Prefill time of this upstream's part of the prompt.
    TimePoint prefillEnd; ///< End of the prefill, expected while it lasts; set by UpstreamLoad.
    std::uint64_t outputTokens = 0; ///< Longest answer, in tokens.
    Duration useDelay{}; ///< The request is sent within this time after the grant.
    TimePoint usedBy{}; ///< When the request is sent at the latest, as long as the host has not said that it has the grant; set by UpstreamLoad.
};

/**
 * \class UpstreamLoad
 * \brief The load of one upstream, derived from the grants that name it.
 */
class UpstreamLoad
{
public:
    /// This host may use \p coldShare of the rate while the upstream is cold; all of it if that is null.
    UpstreamLoad(UpstreamEntry entry, double coldRequestsPerSecond, std::shared_ptr<const ColdShare> coldShare = nullptr);

    const UpstreamEntry &entry() const;
    void setEntry(UpstreamEntry entry);

    void add(const PlacementRequestId &id, const GrantLoad &grant, TimePoint now);
    /// The host has the grant for \p id and has sent the request by \p now.
    void useBegan(const PlacementRequestId &id, TimePoint now);
    /// The first event of the answer came, so the prefill for \p id is complete since \p now.
    void prefillDone(const PlacementRequestId &id, TimePoint now);
    void remove(const PlacementRequestId &id);

    std::uint32_t requests() const; ///< Whole requests, in prefill or decode.
    std::uint32_t decodingRequests() const;
    std::uint32_t helperPrefills() const; ///< Parts of other engines' prompts that are in prefill here.
    std::uint64_t contextTokens() const; ///< Prompt tokens of the whole requests.
    std::uint64_t memoryTokens() const; ///< KV memory that the grants need at the ends of their answers, in tokens.
    std::uint64_t largestPrefillPrompt() const; ///< Tokens of the largest prompt in prefill.
    /// The longest prefill of a request that is answered here. Prefills for other engines that come later would go before it.
    Duration longestOwnPrefill() const;
    bool idle() const;
    const std::map<PlacementRequestId, GrantLoad> &grants() const;

    /// The next reservation of the upstream; work that would delay its start is not placed here.
    const std::optional<EngineHold> &hold() const;
    void setHold(const std::optional<EngineHold> &hold);

    /// The time to finish all prefills that were granted and are not complete. A prefill shorter than \p iteration counts in full until its end is
    /// reported, because an engine with requests in decode starts it only with its next iteration.
    Duration prefillBacklog(TimePoint now, Duration iteration) const;

    /// The shortest pause limit of the requests that are answered here; Duration::max() if none has one.
    Duration shortestPauseLimit() const;

    /// Returns whether one more request would keep this host's share of the rate limit of a cold upstream; always true once the upstream is warm.
    bool keepsColdLimit(TimePoint now) const;
    /// Whether this host has used up its share of the rate limit of the cold upstream, although the limit would allow one more request.
    bool usedUpColdShare(TimePoint now) const;
    /// Changes the rate limit that applies while the upstream is cold.
    void setColdRate(double requestsPerSecond);
    /// Assumes that another host has used up the rate limit until \p now.
    void assumeColdRateUsed(TimePoint now);

    /// Records what the upstream says about itself in an answer to \p host.
    void recordNotice(const HostId &host, const UpstreamNotice &notice, TimePoint now);
    /// Whether the upstream has said that it is leaving.
    bool saysLeaving() const;
    /// The time from which the upstream accepts requests of \p host, as far as it has said.
    TimePoint acceptsFrom(const HostId &host) const;

    FailureRecord &failures();
    const FailureRecord &failures() const;

    /// Load of the upstream that no grant here explains.
    UnknownLoad &unknownLoad();
    const UnknownLoad &unknownLoad() const;

    Lateness &lateness();
    const Lateness &lateness() const;
    /// The factor on the estimates of first events here.
    double slowness() const;
    void setSlowness(double factor);

private:
    /// Totals over the grants here. They are recomputed on each change, because choices read them far more often than grants change.
    struct Totals {
        std::uint32_t requests = 0;
        std::uint32_t decodingRequests = 0;
        std::uint32_t helperPrefills = 0;
        std::uint64_t contextTokens = 0;
        std::uint64_t memoryTokens = 0;
        std::uint64_t largestPrefillPrompt = 0;
        Duration longestOwnPrefill{};
        Duration shortestPauseLimit = Duration::max();
        std::vector<GrantLoad> prefills;
    };

    void updateTotals();

    UpstreamEntry m_entry;
    std::map<PlacementRequestId, GrantLoad> m_grants;
    Totals m_totals;
    RateWindow m_coldWindow;
    std::shared_ptr<const ColdShare> m_coldShare;
    FailureRecord m_failures;
    UnknownLoad m_unknownLoad;
    Lateness m_lateness;
    double m_slowness = 1;
    std::optional<EngineHold> m_hold;
    bool m_saysLeaving = false;
    std::map<HostId, TimePoint> m_pauses; ///< Until when the upstream wants no request of each host.
};

}
