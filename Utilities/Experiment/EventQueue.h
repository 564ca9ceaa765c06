#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Mangofall::Experiment {

/**
 * \class EventQueue
 * \brief Runs actions in the order of their virtual times. Actions with the same time run in the order in which they were added.
 */
class EventQueue
{
public:
    using Action = std::function<void()>;

    TimePoint now() const;
    /// Adds an action for \p time, or for now() if \p time has passed.
    void scheduleAt(TimePoint time, Action action);
    void scheduleAfter(Duration delay, Action action);
    /// Runs all actions with a time up to and including \p end, then sets now() to \p end.
    void runUntil(TimePoint end);

private:
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        Action action;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
        }
    };

    TimePoint m_now;
    std::uint64_t m_addedEvents = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

}
