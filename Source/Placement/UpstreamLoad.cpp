#include "Placement/UpstreamLoad.h"

#include <algorithm>

namespace Mangofall::Placement {

namespace {

constexpr std::chrono::seconds coldWindowLength{1};

}

UpstreamLoad::UpstreamLoad(UpstreamEntry entry, double coldRequestsPerSecond)
    : m_entry(std::move(entry))
    , m_coldWindow(coldWindowLength, coldRequestsPerSecond)
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

void UpstreamLoad::add(const DemandId &id, const Work &work, TimePoint now)
{
    if (work.reading) {
        m_readUntil = std::max(m_readUntil, now) + work.readTime;
    }
    if (!work.helper) {
        m_coldWindow.add(now);
    }
    m_work[id] = work;
}

void UpstreamLoad::readDone(const DemandId &id, TimePoint now)
{
    const auto position = m_work.find(id);
    if (position == m_work.end()) {
        return;
    }
    position->second.reading = false;
    if (position->second.helper) {
        m_work.erase(position);
    }
    shortenBacklog(now);
}

void UpstreamLoad::remove(const DemandId &id, TimePoint now)
{
    if (m_work.erase(id) > 0) {
        shortenBacklog(now);
    }
}

std::uint32_t UpstreamLoad::requests() const
{
    return static_cast<std::uint32_t>(m_work.size()) - helping();
}

std::uint32_t UpstreamLoad::writers() const
{
    return static_cast<std::uint32_t>(std::count_if(m_work.begin(), m_work.end(), [](const auto &entry) {
        return !entry.second.helper && !entry.second.reading;
    }));
}

std::uint32_t UpstreamLoad::helping() const
{
    return static_cast<std::uint32_t>(std::count_if(m_work.begin(), m_work.end(), [](const auto &entry) {
        return entry.second.helper;
    }));
}

std::uint64_t UpstreamLoad::contextTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, work] : m_work) {
        tokens += work.helper ? 0 : work.promptTokens;
    }
    return tokens;
}

std::uint64_t UpstreamLoad::memoryTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, work] : m_work) {
        tokens += work.helper ? 0 : work.promptTokens + work.outputTokens;
    }
    return tokens;
}

std::uint64_t UpstreamLoad::largestReading() const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, work] : m_work) {
        tokens = std::max(tokens, work.reading ? work.promptTokens : 0);
    }
    return tokens;
}

bool UpstreamLoad::idle() const
{
    return m_work.empty();
}

Duration UpstreamLoad::readBacklog(TimePoint now) const
{
    return std::max(Duration::zero(), Duration(m_readUntil - now));
}

Duration UpstreamLoad::tightestPause() const
{
    Duration tightest = Duration::max();
    for (const auto &[id, work] : m_work) {
        if (!work.helper && work.pauseLimit > Duration::zero()) {
            tightest = std::min(tightest, work.pauseLimit);
        }
    }
    return tightest;
}

bool UpstreamLoad::mayStart(TimePoint now) const
{
    return now >= m_entry.coldUntil || m_coldWindow.hasRoom(now);
}

FailureRecord &UpstreamLoad::failures()
{
    return m_failures;
}

const FailureRecord &UpstreamLoad::failures() const
{
    return m_failures;
}

// Estimates drift: what is left to read is never more than what the requests still reading were given.
void UpstreamLoad::shortenBacklog(TimePoint now)
{
    Duration left = Duration::zero();
    for (const auto &[id, work] : m_work) {
        left += work.reading ? work.readTime : Duration::zero();
    }
    m_readUntil = std::min(m_readUntil, now + left);
}

}
