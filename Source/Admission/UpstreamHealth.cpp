#include "Admission/UpstreamHealth.h"

#include <algorithm>

namespace Mangofall {

namespace {

// Multiplies the request cap by 1.5 per round of completed requests. Doubling overshoots the capacity of a warming engine by up
// to its cap.
constexpr double fastRequestGrowth = 0.5;
// Doubles the prefill cap after completed prompts of as many tokens as the cap, so that long prompts fit again after the
// prefill time of about one cap.
constexpr double fastPrefillGrowth = 1;
constexpr double slowPrefillGrowth = 0.1;
constexpr double shrinkFactor = 0.7;

}

UpstreamHealth::UpstreamHealth(const UpstreamSpec &spec)
    : m_coldCaps{std::min(spec.coldRequests, spec.maxRequests), std::min(spec.coldPrefillTokens, spec.maxPrefillTokens)}
    , m_maxCaps{spec.maxRequests, spec.maxPrefillTokens}
    , m_requestCap(m_coldCaps.requests)
    , m_prefillCap(static_cast<double>(m_coldCaps.prefillTokens))
{
}

UpstreamState UpstreamHealth::state() const
{
    return m_state;
}

Caps UpstreamHealth::caps() const
{
    return {static_cast<std::uint32_t>(m_requestCap), static_cast<std::uint64_t>(m_prefillCap)};
}

std::uint64_t UpstreamHealth::epoch() const
{
    return m_epoch;
}

void UpstreamHealth::recordLoadReport(TimePoint now, std::uint64_t epoch, Duration uptime)
{
    const bool first = m_epoch == 0;
    const bool restarted = !first && (epoch != m_epoch || uptime < m_uptime);
    m_epoch = epoch;
    m_uptime = uptime;
    if (restarted || (first && m_state == UpstreamState::Unknown)) {
        const UpstreamState kept = m_state;
        resetToCold(now);
        // A restart ends an announced shutdown, but neither an operator's decision nor a pending probe.
        m_state = kept == UpstreamState::Out || kept == UpstreamState::Suspect ? kept : UpstreamState::Cold;
    }
}

void UpstreamHealth::recordConnectionRefused(TimePoint now)
{
    if (!acceptsWork(m_state)) {
        return;
    }
    const bool again = m_connectionRefusedBefore;
    resetToCold(now);
    m_connectionRefusedBefore = true;
    if (again) {
        m_state = UpstreamState::Suspect;
    }
}

void UpstreamHealth::markUnresponsive()
{
    if (acceptsWork(m_state)) {
        m_state = UpstreamState::Suspect;
    }
}

void UpstreamHealth::recordProbeSuccess(TimePoint now)
{
    if (m_state == UpstreamState::Suspect) {
        resetToCold(now);
        m_connectionRefusedBefore = false;
    }
}

void UpstreamHealth::takeOutOfService()
{
    m_state = UpstreamState::Out;
}

void UpstreamHealth::returnToService(TimePoint now)
{
    resetToCold(now);
    m_connectionRefusedBefore = false;
}

void UpstreamHealth::markLeaving()
{
    if (m_state != UpstreamState::Out) {
        m_state = UpstreamState::Leaving;
    }
}

void UpstreamHealth::beginTakeover(TimePoint now)
{
    const UpstreamState kept = m_state;
    resetToCold(now);
    m_state = acceptsWork(kept) ? UpstreamState::Cold : kept;
}

void UpstreamHealth::resetToCold(TimePoint now)
{
    m_state = UpstreamState::Cold;
    m_requestCap = m_coldCaps.requests;
    m_prefillCap = static_cast<double>(m_coldCaps.prefillTokens);
    m_fastGrowth = true;
    m_coldSince = now;
    m_lastShrink.reset();
}

void UpstreamHealth::adoptCaps(const Caps &caps)
{
    if (!acceptsWork(m_state)) {
        return;
    }
    m_requestCap = std::clamp<double>(caps.requests, m_requestCap, m_maxCaps.requests);
    m_prefillCap = std::clamp(static_cast<double>(caps.prefillTokens), m_prefillCap, static_cast<double>(m_maxCaps.prefillTokens));
    updateWarmState();
}

void UpstreamHealth::recordCompletion(TimePoint sentAt, std::uint64_t prefillTokens)
{
    // Attempts sent before the cold start do not show what the upstream sustains now.
    if (!acceptsWork(m_state) || (m_coldSince && sentAt < *m_coldSince)) {
        return;
    }
    m_connectionRefusedBefore = false;
    m_requestCap += m_fastGrowth ? fastRequestGrowth : 1 / m_requestCap;
    m_prefillCap += (m_fastGrowth ? fastPrefillGrowth : slowPrefillGrowth) * static_cast<double>(prefillTokens);
    m_requestCap = std::min<double>(m_requestCap, m_maxCaps.requests);
    m_prefillCap = std::min(m_prefillCap, static_cast<double>(m_maxCaps.prefillTokens));
    updateWarmState();
}

void UpstreamHealth::recordOverload(TimePoint now, TimePoint sentAt)
{
    if (!acceptsWork(m_state) || (m_lastShrink && sentAt < *m_lastShrink)) {
        return;
    }
    m_lastShrink = now;
    m_fastGrowth = false;
    m_requestCap = std::max<double>(m_requestCap * shrinkFactor, m_coldCaps.requests);
    m_prefillCap = std::max(m_prefillCap * shrinkFactor, static_cast<double>(m_coldCaps.prefillTokens));
}

void UpstreamHealth::updateWarmState()
{
    const bool full = caps().requests == m_maxCaps.requests;
    m_state = full || !m_fastGrowth ? UpstreamState::Warm : UpstreamState::Warming;
}

}
