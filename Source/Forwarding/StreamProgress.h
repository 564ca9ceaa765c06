#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>

namespace Mangofall::Forwarding {

/**
 * \class StreamProgress
 * \brief The events of a stream that were relayed to the caller, over all attempts, and their times.
 */
class StreamProgress
{
public:
    /// \p lastEventId is the id of the last event that the caller had received before this request; 0 if none.
    StreamProgress(TimePoint receivedAt, std::uint64_t lastEventId);

    /// Records that all events up to \p id have been written to the caller. A resumed attempt begins behind them.
    void advance(std::uint64_t id);
    /// Records that new events are relayed to the caller at \p now.
    void recordRelay(TimePoint now);

    /// Id of the last event that the caller has; 0 if none.
    std::uint64_t lastEventId() const;
    /// Time from the request's arrival to the first event that was relayed; empty before it.
    std::optional<Duration> timeToFirstEvent() const;
    /// Longest time between two relays of events.
    Duration longestPause() const;

private:
    TimePoint m_receivedAt;
    std::uint64_t m_lastEventId;
    std::optional<Duration> m_timeToFirstEvent;
    TimePoint m_lastRelayedAt;
    Duration m_longestPause{};
};

}
