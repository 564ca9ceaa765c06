#pragma once

#include "Base/Time.h"

#include <deque>

namespace Mangofall::Placement {

/**
 * \class RateWindow
 * \brief Counts events in a sliding window and tells whether one more event would keep a maximum rate.
 */
class RateWindow
{
public:
    /// \p perSecond 0 means no limit.
    RateWindow(Duration length, double perSecond);

    /// Changes the maximum rate; events before the change count as well.
    void setRate(double perSecond);
    /// \p time may be in the future, for an event that happens by then.
    void add(TimePoint time);
    /// The event that was added with \p from happened at \p to.
    void move(TimePoint from, TimePoint to);
    /// Forgets the events that have left the window by \p now.
    void expire(TimePoint now);
    /// Assumes that the maximum was reached just before \p now, which may be in the future, by events that were not counted here.
    void assumeFull(TimePoint now);
    /// \p share is the part of the maximum that may be used here.
    bool hasRoom(TimePoint now, double share = 1) const;

private:
    Duration m_length;
    double m_perSecond;
    std::deque<TimePoint> m_events; ///< In ascending order.
    TimePoint m_fullUntil;
};

}
