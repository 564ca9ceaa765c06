#include "Placement/RateWindow.h"

#include <algorithm>

namespace Mangofall::Placement {

RateWindow::RateWindow(Duration length, double perSecond)
    : m_length(length)
    , m_perSecond(perSecond)
{
}

void RateWindow::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

void RateWindow::assumeFull(TimePoint now)
{
    m_fullUntil = std::max(m_fullUntil, now + m_length);
}

void RateWindow::add(TimePoint time)
{
    m_events.insert(std::upper_bound(m_events.begin(), m_events.end(), time), time);
}

void RateWindow::move(TimePoint from, TimePoint to)
{
    const auto event = std::lower_bound(m_events.begin(), m_events.end(), from);
    if (event != m_events.end() && *event == from) {
        m_events.erase(event);
        add(to);
    }
}

void RateWindow::expire(TimePoint now)
{
    while (!m_events.empty() && m_events.front() + m_length <= now) {
        m_events.pop_front();
    }
}

bool RateWindow::hasRoom(TimePoint now, double share) const
{
    if (m_perSecond <= 0) {
        return true;
    }
    if (now < m_fullUntil) {
        return false;
    }
    const auto inWindow = std::count_if(m_events.begin(), m_events.end(), [&](TimePoint event) {
        return event + m_length > now;
    });
    return static_cast<double>(inWindow) + 1 <= m_perSecond * share * Seconds(m_length).count();
}

}
