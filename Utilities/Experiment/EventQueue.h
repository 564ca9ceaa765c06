#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Mangofall::Experiment {

/**
 * \class EventQueue
 * \brief Runs actions in the order of their virtual times; those of the same time run in the order in which they were added.
 */
class EventQueue
{
public:
    using Action = std::function<void()>;

    TimePoint now() const;
    void at(TimePoint time, Action action);
    void after(Duration delay, Action action);
    /// Runs all actions up to \p end.
    void runUntil(TimePoint end);

private:
    struct Event {
        TimePoint time;
        std::uint64_t number = 0;
        Action action;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.time != right.time ? left.time > right.time : left.number > right.number;
        }
    };

    TimePoint m_now;
    std::uint64_t m_added = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

}
