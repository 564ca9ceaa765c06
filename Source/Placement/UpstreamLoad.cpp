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

void UpstreamLoad::add(const PlacementRequestId &id, const Work &work, TimePoint now)
{
    if (!work.helper) {
        m_coldWindow.add(now);
    }
    const TimePoint readEnd = now + readBacklog(now, Duration::zero()) + work.prefillTime;
    Work &added = m_work[id];
    added = work;
    added.readEnd = readEnd;
    workChanged();
}

void UpstreamLoad::readDone(const PlacementRequestId &id)
{
    const auto position = m_work.find(id);
    if (position == m_work.end()) {
        return;
    }
    position->second.reading = false;
    if (position->second.helper && position->second.memoryTokens == 0) {
        m_work.erase(position);
    }
    workChanged();
}

void UpstreamLoad::remove(const PlacementRequestId &id)
{
    if (m_work.erase(id) > 0) {
        workChanged();
    }
}

std::uint32_t UpstreamLoad::requests() const
{
    return m_totals.requests;
}

std::uint32_t UpstreamLoad::writers() const
{
    return m_totals.writers;
}

std::uint32_t UpstreamLoad::helping() const
{
    return m_totals.helping;
}

std::uint64_t UpstreamLoad::contextTokens() const
{
    return m_totals.contextTokens;
}

std::uint64_t UpstreamLoad::memoryTokens() const
{
    return m_totals.memoryTokens;
}

std::uint64_t UpstreamLoad::largestReading() const
{
    return m_totals.largestReading;
}

Duration UpstreamLoad::longestOwnRead() const
{
    return m_totals.longestOwnRead;
}

bool UpstreamLoad::idle() const
{
    return m_work.empty();
}

Duration UpstreamLoad::readBacklog(TimePoint now, Duration pass) const
{
    Duration backlog = Duration::zero();
    for (const Work &work : m_totals.reading) {
        const Duration left = std::clamp<Duration>(work.readEnd - now, Duration::zero(), work.prefillTime);
        backlog += work.prefillTime < pass ? work.prefillTime : left;
    }
    return backlog;
}

Duration UpstreamLoad::tightestPause() const
{
    return m_totals.tightestPause;
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

void UpstreamLoad::workChanged()
{
    m_totals = Totals();
    for (const auto &[id, work] : m_work) {
        if (work.reading) {
            m_totals.reading.push_back(work);
            m_totals.largestReading = std::max(m_totals.largestReading, work.promptTokens);
        }
        m_totals.memoryTokens += work.memoryTokens;
        if (work.helper) {
            m_totals.helping += work.reading ? 1 : 0;
            continue;
        }
        m_totals.longestOwnRead = std::max(m_totals.longestOwnRead, work.reading ? work.prefillTime : Duration::zero());
        ++m_totals.requests;
        m_totals.writers += work.reading ? 0 : 1;
        m_totals.contextTokens += work.promptTokens;
        if (work.pauseLimit > Duration::zero()) {
            m_totals.tightestPause = std::min(m_totals.tightestPause, work.pauseLimit);
        }
    }
}

}
