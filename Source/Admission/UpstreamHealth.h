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
 * Caps start at the cold caps of UpstreamSpec. They grow on completed work that was sent since the cold start and had
 * good latency: until the first overload by half a request per request and by each prompt's tokens, afterwards by about
 * one request per round. They shrink on overload, at most once per round, and never below the cold caps.
 */
class UpstreamHealth
{
public:
    explicit UpstreamHealth(const UpstreamSpec &spec);

    UpstreamState state() const;
    Caps caps() const;
    std::uint64_t epoch() const; ///< 0 before the first report.

    /// A load report; another epoch or a decrease of the uptime is a restart.
    void reported(TimePoint now, std::uint64_t epoch, Duration uptime);

    /// The first refusal makes the upstream cold, a second one without a success in between makes it suspect.
    void connectionRefused(TimePoint now);
    void unresponsive();
    void probeSucceeded(TimePoint now);
    void takenOut();
    void broughtBack(TimePoint now);
    void leaving();

    /// Back to the cold caps in any state, because another host's dispatcher may still be active.
    void takenOver(TimePoint now);

    /// Takes over the caps that the former dispatcher has learned.
    void adoptCaps(const Caps &caps);

    /// Work of \p prefillTokens sent at \p sentAt completed with good latency.
    void completed(TimePoint sentAt, std::uint64_t prefillTokens);

    /// Work sent at \p sentAt was refused, broke off or was slow.
    void overloaded(TimePoint now, TimePoint sentAt);

private:
    void becomeCold(TimePoint now);
    void updateWarmth();

    Caps m_cold;
    Caps m_max;
    UpstreamState m_state = UpstreamState::Unknown;
    double m_requestCap;
    double m_prefillCap;
    bool m_steepGrowth = true; ///< No overload since the last cold start.
    bool m_refusedBefore = false;
    std::optional<TimePoint> m_coldSince;
    std::optional<TimePoint> m_lastShrink;
    std::uint64_t m_epoch = 0;
    Duration m_uptime{0};
};

}
