#include "Experiment/EventQueue.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Experiment {

TimePoint EventQueue::now() const
{
    return m_now;
}

void EventQueue::scheduleAt(TimePoint time, Action action)
{
    m_events.push({std::max(time, m_now), m_addedEvents++, std::move(action)});
}

void EventQueue::scheduleAfter(Duration delay, Action action)
{
    scheduleAt(m_now + delay, std::move(action));
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

}
