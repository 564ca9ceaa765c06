#pragma once

#include "Admission/Caps.h"
#include "Base/Time.h"
#include "Config/UpstreamSpec.h"
#include "Routing/UpstreamState.h"

#include <cstdint>
#include <optional>

namespace Mangofall {

/**
 * \class UpstreamHealth
 * \brief State and caps of one upstream.
 *
 * The caps start at the cold caps of UpstreamSpec. They grow with each completed attempt that was sent since the cold start
 * and had good latency: until the first overload by half a request and by the prompt's uncached tokens, afterwards by a
 * tenth of these tokens and by about one request per round, that is per as many completed attempts as the request cap. They
 * shrink on overload, at most once per round, and never below the cold caps.
 */
class UpstreamHealth
{
public:
    explicit UpstreamHealth(const UpstreamSpec &spec);

    UpstreamState state() const;
    Caps caps() const;
    std::uint64_t epoch() const; ///< 0 before the first report.

    /// Records the epoch and uptime of a load report. A different epoch or a decrease of the uptime means a restart.
    void recordLoadReport(TimePoint now, std::uint64_t epoch, Duration uptime);

    /// Records a refused connection. The first one makes the upstream cold; a second one without a completed attempt in between
    /// makes it suspect.
    void recordConnectionRefused(TimePoint now);
    void markUnresponsive();
    void recordProbeSuccess(TimePoint now);
    void takeOutOfService();
    void returnToService(TimePoint now);
    void markLeaving();

    /// Returns to the cold caps in any state, because another host's dispatcher may still be active.
    void beginTakeover(TimePoint now);

    /// Raises the caps to those that the former owner's dispatcher has learned, within the limits of UpstreamSpec.
    void adoptCaps(const Caps &caps);

    /// Records that an attempt of \p prefillTokens uncached tokens, sent at \p sentAt, completed with good latency.
    void recordCompletion(TimePoint sentAt, std::uint64_t prefillTokens);

    /// Records that an attempt sent at \p sentAt was refused, interrupted or slow.
    void recordOverload(TimePoint now, TimePoint sentAt);

private:
    void resetToCold(TimePoint now);
    void updateWarmState();

    Caps m_coldCaps;
    Caps m_maxCaps;
    UpstreamState m_state = UpstreamState::Unknown;
    double m_requestCap;
    double m_prefillCap;
    bool m_fastGrowth = true; ///< No overload since the last cold start.
    bool m_connectionRefusedBefore = false;
    std::optional<TimePoint> m_coldSince;
    std::optional<TimePoint> m_lastShrink;
    std::uint64_t m_epoch = 0;
    Duration m_uptime{0};
};

}
