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
    void add(TimePoint now);
    /// Assumes that the maximum was reached just before \p now, which may be in the future, by events that were not counted here.
    void assumeFull(TimePoint now);
    /// \p share is the part of the maximum that may be used here.
    bool hasRoom(TimePoint now, double share = 1) const;

private:
    Duration m_length;
    double m_perSecond;
    std::deque<TimePoint> m_events;
    TimePoint m_fullUntil;
};

}
