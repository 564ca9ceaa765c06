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

    void add(TimePoint now);
    bool hasRoom(TimePoint now) const;

private:
    Duration m_length;
    double m_perSecond;
    std::deque<TimePoint> m_events;
};

}
