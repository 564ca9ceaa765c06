#include "Base/PauseDetector.h"

#include <ctime>
#include <utility>

namespace Mangofall {

Duration bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

PauseDetector::PauseDetector(Duration tolerance, BootClock clock)
    : m_tolerance(tolerance)
    , m_clock(std::move(clock))
{
}

void PauseDetector::expectCheckWithin(Duration interval)
{
    m_due = m_clock() + interval;
}

void PauseDetector::expectNoCheck()
{
    m_due.reset();
}

Duration PauseDetector::check()
{
    if (!m_due) {
        return Duration::zero();
    }
    const Duration now = m_clock();
    if (now <= *m_due + m_tolerance) {
        return Duration::zero();
    }
    const Duration late = now - *m_due;
    m_due = now;
    return late;
}

}
