#pragma once

#include "Placement/EngineSpec.h"
#include "Placement/FailureRecord.h"
#include "Placement/PlacementRequest.h"
#include "Placement/RateWindow.h"
#include "Placement/UpstreamEntry.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class Work
 * \brief One grant at one upstream: a whole request, or a helper's part of reading its prompt.
 */
struct Work {
    bool helper = false;
    bool reading = true; ///< The first piece of the answer has not come yet.
    std::uint64_t promptTokens = 0;
    std::uint64_t memoryTokens = 0; ///< Held here at the end of the answer.
    Duration pauseLimit{};
    Duration prefillTime{}; ///< Of this upstream's part.
    TimePoint readEnd; ///< When the reading should be done; set by the load.
};

/**
 * \class UpstreamLoad
 * \brief What one upstream is doing, from the grants given for it.
 */
class UpstreamLoad
{
public:
    UpstreamLoad(UpstreamEntry entry, double coldRequestsPerSecond);

    const UpstreamEntry &entry() const;
    void setEntry(UpstreamEntry entry);

    void add(const PlacementRequestId &id, const Work &work, TimePoint now);
    /// The first piece of the answer came: nothing is left to read for \p id.
    void readDone(const PlacementRequestId &id);
    void remove(const PlacementRequestId &id);

    std::uint32_t requests() const; ///< Whole requests, reading or writing.
    std::uint32_t writers() const;
    std::uint32_t helping() const;
    std::uint64_t contextTokens() const;
    std::uint64_t memoryTokens() const; ///< Tokens that the requests will hold at their ends.
    std::uint64_t largestReading() const;
    /// The longest read of a request that is answered here; reads for other engines would go ahead of it.
    Duration longestOwnRead() const;
    bool idle() const;

    /// Time to read everything that was given and is not read yet. A part shorter than \p pass counts in full until its end is reported, because an
    /// engine with writers begins to read it only with its next pass.
    Duration readBacklog(TimePoint now, Duration pass) const;

    /// The shortest pause limit of the requests here; Duration::max() if there is none.
    Duration tightestPause() const;

    /// Whether a request more would keep the limit of a cold upstream.
    bool mayStart(TimePoint now) const;

    FailureRecord &failures();
    const FailureRecord &failures() const;

private:
    /// Sums over the work here, made anew when it changes: choices read them far more often.
    struct Totals {
        std::uint32_t requests = 0;
        std::uint32_t writers = 0;
        std::uint32_t helping = 0;
        std::uint64_t contextTokens = 0;
        std::uint64_t memoryTokens = 0;
        std::uint64_t largestReading = 0;
        Duration longestOwnRead{};
        Duration tightestPause = Duration::max();
        std::vector<Work> reading;
    };

    void workChanged();

    UpstreamEntry m_entry;
    std::map<PlacementRequestId, Work> m_work;
    Totals m_totals;
    RateWindow m_coldWindow;
    FailureRecord m_failures;
};

}
