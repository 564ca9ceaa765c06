#include "Admission/UpstreamHealth.h"

#include <algorithm>

namespace Mangofall {

namespace {

// One and a half times the cap per round of completed requests; doubling overshoots a warming engine by up to its cap.
constexpr double steepRequestGrowth = 0.5;
// Doubles the prefill cap per cap's worth of prompts, so that long prompts fit again within the time of one prefill cap.
constexpr double steepPrefillGrowth = 1;
constexpr double gentlePrefillGrowth = 0.1;
constexpr double shrinkFactor = 0.7;

}

UpstreamHealth::UpstreamHealth(const UpstreamSpec &spec)
    : m_cold{std::min(spec.coldRequests, spec.maxRequests), std::min(spec.coldPrefillTokens, spec.maxPrefillTokens)}
    , m_max{spec.maxRequests, spec.maxPrefillTokens}
    , m_requestCap(m_cold.requests)
    , m_prefillCap(static_cast<double>(m_cold.prefillTokens))
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

void UpstreamHealth::reported(TimePoint now, std::uint64_t epoch, Duration uptime)
{
    const bool first = m_epoch == 0;
    const bool restarted = !first && (epoch != m_epoch || uptime < m_uptime);
    m_epoch = epoch;
    m_uptime = uptime;
    if (restarted || (first && m_state == UpstreamState::Unknown)) {
        const UpstreamState kept = m_state;
        becomeCold(now);
        // A restart ends an announced shutdown; operators' decisions and a pending probe stay.
        m_state = kept == UpstreamState::Out || kept == UpstreamState::Suspect ? kept : UpstreamState::Cold;
    }
}

void UpstreamHealth::connectionRefused(TimePoint now)
{
    if (!acceptsWork(m_state)) {
        return;
    }
    const bool again = m_refusedBefore;
    becomeCold(now);
    m_refusedBefore = true;
    if (again) {
        m_state = UpstreamState::Suspect;
    }
}

void UpstreamHealth::unresponsive()
{
    if (acceptsWork(m_state)) {
        m_state = UpstreamState::Suspect;
    }
}

void UpstreamHealth::probeSucceeded(TimePoint now)
{
    if (m_state == UpstreamState::Suspect) {
        becomeCold(now);
        m_refusedBefore = false;
    }
}

void UpstreamHealth::takenOut()
{
    m_state = UpstreamState::Out;
}

void UpstreamHealth::broughtBack(TimePoint now)
{
    becomeCold(now);
    m_refusedBefore = false;
}

void UpstreamHealth::leaving()
{
    if (m_state != UpstreamState::Out) {
        m_state = UpstreamState::Leaving;
    }
}

void UpstreamHealth::takenOver(TimePoint now)
{
    const UpstreamState kept = m_state;
    becomeCold(now);
    m_state = acceptsWork(kept) ? UpstreamState::Cold : kept;
}

void UpstreamHealth::becomeCold(TimePoint now)
{
    m_state = UpstreamState::Cold;
    m_requestCap = m_cold.requests;
    m_prefillCap = static_cast<double>(m_cold.prefillTokens);
    m_steepGrowth = true;
    m_coldSince = now;
    m_lastShrink.reset();
}

void UpstreamHealth::adoptCaps(const Caps &caps)
{
    if (!acceptsWork(m_state)) {
        return;
    }
    m_requestCap = std::clamp<double>(caps.requests, m_requestCap, m_max.requests);
    m_prefillCap = std::clamp(static_cast<double>(caps.prefillTokens), m_prefillCap, static_cast<double>(m_max.prefillTokens));
    updateWarmth();
}

void UpstreamHealth::completed(TimePoint sentAt, std::uint64_t prefillTokens)
{
    // Work sent before the cold start says nothing about the upstream as it is now.
    if (!acceptsWork(m_state) || (m_coldSince && sentAt < *m_coldSince)) {
        return;
    }
    m_refusedBefore = false;
    m_requestCap += m_steepGrowth ? steepRequestGrowth : 1 / m_requestCap;
    m_prefillCap += (m_steepGrowth ? steepPrefillGrowth : gentlePrefillGrowth) * static_cast<double>(prefillTokens);
    m_requestCap = std::min<double>(m_requestCap, m_max.requests);
    m_prefillCap = std::min(m_prefillCap, static_cast<double>(m_max.prefillTokens));
    updateWarmth();
}

void UpstreamHealth::overloaded(TimePoint now, TimePoint sentAt)
{
    if (!acceptsWork(m_state) || (m_lastShrink && sentAt < *m_lastShrink)) {
        return;
    }
    m_lastShrink = now;
    m_steepGrowth = false;
    m_requestCap = std::max<double>(m_requestCap * shrinkFactor, m_cold.requests);
    m_prefillCap = std::max(m_prefillCap * shrinkFactor, static_cast<double>(m_cold.prefillTokens));
}

void UpstreamHealth::updateWarmth()
{
    const bool full = caps().requests == m_max.requests;
    m_state = full || !m_steepGrowth ? UpstreamState::Warm : UpstreamState::Warming;
}

}
