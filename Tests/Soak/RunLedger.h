#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Soak {

/// How a request may be repeated; each kind has a route of its own.
enum class SoakRequestKind {
    Stream, ///< An event stream, which may be resumed at another upstream.
    Repeatable, ///< A GET request, which may run any number of times.
    Once, ///< A POST request, which may run at most once.
};

/// How an attempt ended from the point of view of its caller.
enum class CallerOutcome {
    Answered, ///< With status 200; any body but the complete answer of the upstream is a violation.
    Refused, ///< With a status that states that the request did not run.
    Failed, ///< With any other status.
    Incomplete, ///< The connection ended before the answer was complete, or none came in time and a fault may be the reason.
    TimedOut, ///< No complete answer came until long after the deadline, although no fault can be the reason.
};

/**
 * \class RunLedger
 * \brief Records what callers and upstreams saw of each attempt, and the violated guarantees of the fleet.
 *
 * An attempt is one request of a caller, identified by its Attempt-Id.
 */
class RunLedger
{
public:
    struct Attempt {
        SoakRequestKind kind = SoakRequestKind::Stream;
        TimePoint sentAt;
        TimePoint hostFaultFreeSince; ///< As of the sending, see SoakHost::faultFreeSince.
        std::chrono::milliseconds deadline{};
        std::uint32_t runs = 0; ///< How often an upstream has begun to run it.
        std::optional<CallerOutcome> outcome; ///< Empty while the caller waits.
        bool harmful = false; ///< Whether it crashes each upstream that begins to answer it; nobody misses its answer.
    };

    void recordSent(const std::string &attempt, const Attempt &details);
    /// The recorded attempt with the Attempt-Id \p attempt; null if no caller sent it.
    const Attempt *find(const std::string &attempt) const;
    /// Records that an upstream begins to run the attempt.
    void recordRun(const std::string &attempt);
    /// Records that an upstream, which begins to run the attempt, is about to crash because of it.
    void recordHarmfulRun(const std::string &attempt, TimePoint now);
    void recordOutcome(const std::string &attempt, CallerOutcome outcome);
    void reportViolation(const std::string &violation);
    /// Checks that hosts without a fault have passed on few harmful attempts since they had to know of them; to be called after all requests have ended.
    void checkHarmfulRuns();
    /// Checks that no attempt of kind Once has run although it was refused as not run; to be called after all requests have ended.
    void checkRefusals();

    const std::vector<std::string> &violations() const;
    std::uint64_t count(CallerOutcome outcome) const;
    /// How often an upstream has crashed because of a harmful attempt.
    std::size_t harmfulCrashes() const;
    /// The answered share, from 0 to 1, of the harmless attempts that were sent at \p from or later and have ended; 1 if there are none.
    double answeredShare(TimePoint from) const;

private:
    std::map<std::string, Attempt> m_attempts;
    std::vector<TimePoint> m_harmfulCrashes;
    std::vector<std::string> m_lateHarmfulRuns; ///< Harmful attempts that ran although their hosts had to know of them.
    std::vector<std::string> m_violations;
};

}
