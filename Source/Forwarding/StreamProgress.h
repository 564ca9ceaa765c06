#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>

namespace Mangofall::Forwarding {

/**
 * \class StreamProgress
 * \brief What a caller has got of a stream, over all attempts: which events, and when.
 */
class StreamProgress
{
public:
    /// \p lastEventId is the last event that the caller had before this request; 0 if it had none.
    StreamProgress(TimePoint receivedAt, std::uint64_t lastEventId);

    /// Whether event \p id is new for the caller; it counts as received from then on.
    bool markReceived(std::uint64_t id);
    /// Events that are new go to the caller.
    void recordRelay(TimePoint now);

    std::uint64_t lastEventId() const;
    /// From the request's arrival to the first event that the caller got; empty before it.
    std::optional<Duration> timeToFirstEvent() const;
    Duration longestPause() const;

private:
    TimePoint m_receivedAt;
    std::uint64_t m_lastEventId;
    std::optional<Duration> m_timeToFirstEvent;
    TimePoint m_lastRelayedAt;
    Duration m_longestPause{};
};

}
