#include "Forwarding/StreamProgress.h"

#include <algorithm>

namespace Mangofall::Forwarding {

StreamProgress::StreamProgress(TimePoint receivedAt, std::uint64_t lastEventId)
    : m_receivedAt(receivedAt)
    , m_lastEventId(lastEventId)
{
}

void StreamProgress::advance(std::uint64_t id)
{
    m_lastEventId = std::max(m_lastEventId, id);
}

void StreamProgress::recordRelay(TimePoint now)
{
    if (m_timeToFirstEvent) {
        m_longestPause = std::max(m_longestPause, Duration(now - m_lastRelayedAt));
    } else {
        m_timeToFirstEvent = now - m_receivedAt;
    }
    m_lastRelayedAt = now;
}

std::uint64_t StreamProgress::lastEventId() const
{
    return m_lastEventId;
}

std::optional<Duration> StreamProgress::timeToFirstEvent() const
{
    return m_timeToFirstEvent;
}

Duration StreamProgress::longestPause() const
{
    return m_longestPause;
}

}
