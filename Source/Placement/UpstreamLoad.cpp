#include "Placement/UpstreamLoad.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Placement {

namespace {

constexpr std::chrono::seconds coldWindowLength{1};

}

UpstreamLoad::UpstreamLoad(UpstreamEntry entry, double coldRequestsPerSecond, std::shared_ptr<const ColdShare> coldShare)
    : m_entry(std::move(entry))
    , m_coldWindow(coldWindowLength, coldRequestsPerSecond)
    , m_coldShare(std::move(coldShare))
{
}

const UpstreamEntry &UpstreamLoad::entry() const
{
    return m_entry;
}

void UpstreamLoad::setEntry(UpstreamEntry entry)
{
    m_entry = std::move(entry);
}

void UpstreamLoad::add(const PlacementRequestId &id, const GrantLoad &grant, TimePoint now)
{
    if (!grant.helper) {
        m_coldWindow.expire(now);
        m_coldWindow.add(now + grant.useDelay);
    }
    const TimePoint prefillEnd = now + prefillBacklog(now, Duration::zero()) + grant.prefillTime;
    GrantLoad &added = m_grants[id];
    added = grant;
    added.prefillEnd = prefillEnd;
    added.usedBy = now + grant.useDelay;
    updateTotals();
}

void UpstreamLoad::useBegan(const PlacementRequestId &id, TimePoint now)
{
    const auto position = m_grants.find(id);
    if (position != m_grants.end() && now < position->second.usedBy) {
        m_coldWindow.move(std::exchange(position->second.usedBy, now), now);
    }
}

void UpstreamLoad::prefillDone(const PlacementRequestId &id, TimePoint now)
{
    const auto position = m_grants.find(id);
    if (position == m_grants.end()) {
        return;
    }
    position->second.prefilling = false;
    position->second.prefillEnd = now;
    if (position->second.helper && position->second.memoryTokens == 0) {
        m_grants.erase(position);
    }
    updateTotals();
}

void UpstreamLoad::remove(const PlacementRequestId &id)
{
    if (m_grants.erase(id) > 0) {
        updateTotals();
    }
}

std::uint32_t UpstreamLoad::requests() const
{
    return m_totals.requests;
}

std::uint32_t UpstreamLoad::decodingRequests() const
{
    return m_totals.decodingRequests;
}

std::uint32_t UpstreamLoad::helperPrefills() const
{
    return m_totals.helperPrefills;
}

std::uint64_t UpstreamLoad::contextTokens() const
{
    return m_totals.contextTokens;
}

std::uint64_t UpstreamLoad::memoryTokens() const
{
    return m_totals.memoryTokens;
}

std::uint64_t UpstreamLoad::largestPrefillPrompt() const
{
    return m_totals.largestPrefillPrompt;
}

Duration UpstreamLoad::longestOwnPrefill() const
{
    return m_totals.longestOwnPrefill;
}

bool UpstreamLoad::idle() const
{
    return m_grants.empty();
}

const std::map<PlacementRequestId, GrantLoad> &UpstreamLoad::grants() const
{
    return m_grants;
}

const std::optional<EngineHold> &UpstreamLoad::hold() const
{
    return m_hold;
}

void UpstreamLoad::setHold(const std::optional<EngineHold> &hold)
{
    m_hold = hold;
}

Duration UpstreamLoad::prefillBacklog(TimePoint now, Duration iteration) const
{
    Duration backlog = Duration::zero();
    for (const GrantLoad &grant : m_totals.prefills) {
        const Duration left = std::clamp<Duration>(grant.prefillEnd - now, Duration::zero(), grant.prefillTime);
        backlog += grant.prefillTime < iteration ? grant.prefillTime : left;
    }
    return backlog;
}

Duration UpstreamLoad::shortestPauseLimit() const
{
    return m_totals.shortestPauseLimit;
}

void UpstreamLoad::setColdRate(double requestsPerSecond)
{
    m_coldWindow.setRate(requestsPerSecond);
}

void UpstreamLoad::assumeColdRateUsed(TimePoint now)
{
    m_coldWindow.assumeFull(now);
}

bool UpstreamLoad::keepsColdLimit(TimePoint now) const
{
    return now >= m_entry.coldUntil || m_coldWindow.hasRoom(now, m_coldShare ? m_coldShare->at(now) : 1);
}

bool UpstreamLoad::usedUpColdShare(TimePoint now) const
{
    return !keepsColdLimit(now) && m_coldWindow.hasRoom(now);
}

void UpstreamLoad::recordNotice(const HostId &host, const UpstreamNotice &notice, TimePoint now)
{
    m_saysLeaving = m_saysLeaving || notice.leaving;
    std::erase_if(m_pauses, [&](const auto &pause) {
        return pause.second <= now;
    });
    if (notice.pause > Duration::zero()) {
        TimePoint &until = m_pauses[host];
        until = std::max(until, now + notice.pause);
    }
}

bool UpstreamLoad::saysLeaving() const
{
    return m_saysLeaving;
}

TimePoint UpstreamLoad::acceptsFrom(const HostId &host) const
{
    const auto pause = m_pauses.find(host);
    return pause == m_pauses.end() ? TimePoint() : pause->second;
}

FailureRecord &UpstreamLoad::failures()
{
    return m_failures;
}

const FailureRecord &UpstreamLoad::failures() const
{
    return m_failures;
}

UnknownLoad &UpstreamLoad::unknownLoad()
{
    return m_unknownLoad;
}

const UnknownLoad &UpstreamLoad::unknownLoad() const
{
    return m_unknownLoad;
}

Lateness &UpstreamLoad::lateness()
{
    return m_lateness;
}

const Lateness &UpstreamLoad::lateness() const
{
    return m_lateness;
}

double UpstreamLoad::slowness() const
{
    return m_slowness;
}

void UpstreamLoad::setSlowness(double factor)
{
    m_slowness = factor;
}

void UpstreamLoad::updateTotals()
{
    m_totals = Totals();
    for (const auto &[id, grant] : m_grants) {
        if (grant.prefilling) {
            m_totals.prefills.push_back(grant);
            m_totals.largestPrefillPrompt = std::max(m_totals.largestPrefillPrompt, grant.promptTokens);
        }
        m_totals.memoryTokens += grant.memoryTokens;
        if (grant.helper) {
            m_totals.helperPrefills += grant.prefilling ? 1 : 0;
            continue;
        }
        m_totals.longestOwnPrefill = std::max(m_totals.longestOwnPrefill, grant.prefilling ? grant.prefillTime : Duration::zero());
        ++m_totals.requests;
        m_totals.decodingRequests += grant.prefilling ? 0 : 1;
        m_totals.contextTokens += grant.promptTokens;
        if (grant.pauseLimit > Duration::zero()) {
            m_totals.shortestPauseLimit = std::min(m_totals.shortestPauseLimit, grant.pauseLimit);
        }
    }
}

}
