#include "Forwarding/StreamProgress.h"

#include <algorithm>

namespace Mangofall::Forwarding {

StreamProgress::StreamProgress(TimePoint receivedAt, std::uint64_t lastEvent)
    : m_receivedAt(receivedAt)
    , m_lastEvent(lastEvent)
{
}

bool StreamProgress::advance(std::uint64_t id)
{
    if (id <= m_lastEvent) {
        return false;
    }
    m_lastEvent = id;
    return true;
}

void StreamProgress::eventsRelayed(TimePoint now)
{
    if (m_firstEventAfter) {
        m_longestPause = std::max(m_longestPause, Duration(now - m_lastRelayedAt));
    } else {
        m_firstEventAfter = now - m_receivedAt;
    }
    m_lastRelayedAt = now;
}

std::uint64_t StreamProgress::lastEvent() const
{
    return m_lastEvent;
}

std::optional<Duration> StreamProgress::firstEventAfter() const
{
    return m_firstEventAfter;
}

Duration StreamProgress::longestPause() const
{
    return m_longestPause;
}

}
