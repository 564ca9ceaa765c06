#include "Store/StoreCallScheduler.h"

#include <algorithm>
#include <random>

namespace Mangofall {

namespace {

// One start in eight goes by age, so the urgent classes keep at least seven eighths of the budget.
constexpr std::uint64_t fairStartInterval = 8;
// Beyond this many doublings every backoff has reached its upper limit.
constexpr std::uint32_t maxDoublings = 16;

}

StoreCallScheduler::StoreCallScheduler(StoreSchedulerLimits limits, RandomEngine &random)
    : m_limits(limits)
    , m_random(random)
    , m_tokens(limits.burst)
{
}

bool StoreCallScheduler::outage() const
{
    return m_outage;
}

std::size_t StoreCallScheduler::waiting() const
{
    std::size_t count = 0;
    for (const std::deque<Waiting> &queue : m_queues) {
        count += queue.size();
    }
    return count;
}

StoreSchedulerActions StoreCallScheduler::submit(ScheduledCallId id, StorePriority priority, TimePoint deadline, TimePoint now)
{
    StoreSchedulerActions actions;
    std::deque<Waiting> &queue = m_queues[static_cast<std::size_t>(priority)];
    if (queue.size() >= m_limits.queueLimit) {
        actions.emplace_back(RefuseStoreCall{id});
        return actions;
    }
    queue.push_back({id, deadline});
    startDue(now, actions);
    return actions;
}

StoreSchedulerActions StoreCallScheduler::recordCallEnd(ScheduledCallId id, bool answered, TimePoint now)
{
    const bool wasProbe = m_probe == id;
    if (wasProbe) {
        m_probe.reset();
    }
    if (answered && m_outage) {
        m_outage = false;
        m_failures = 0;
        m_tokens = 0;
        m_tokensAt = now;
    } else if (!answered && (!m_outage || wasProbe)) {
        // Calls that were already under way when the outage was seen don't lengthen the backoff.
        backOff(now);
    }
    return tick(now);
}

StoreSchedulerActions StoreCallScheduler::tick(TimePoint now)
{
    StoreSchedulerActions actions;
    startDue(now, actions);
    return actions;
}

void StoreCallScheduler::backOff(TimePoint now)
{
    const Duration longest = std::min<Duration>(m_limits.maxBackoff, m_limits.firstBackoff * (1LL << std::min(m_failures, maxDoublings)));
    std::uniform_int_distribution<Duration::rep> delay(0, longest.count());
    m_outage = true;
    ++m_failures;
    m_probeAt = now + Duration(delay(m_random));
}

void StoreCallScheduler::expire(TimePoint now, StoreSchedulerActions &actions)
{
    for (std::deque<Waiting> &queue : m_queues) {
        std::erase_if(queue, [&](const Waiting &call) {
            if (call.deadline > now) {
                return false;
            }
            actions.emplace_back(RefuseStoreCall{call.id});
            return true;
        });
    }
}

void StoreCallScheduler::refill(TimePoint now)
{
    if (now > m_tokensAt) {
        m_tokens = std::min(m_limits.burst, m_tokens + Seconds(now - m_tokensAt).count() * m_limits.callsPerSecond);
        m_tokensAt = now;
    }
}

std::size_t StoreCallScheduler::nextClass() const
{
    const bool fair = (m_starts + 1) % fairStartInterval == 0;
    std::size_t chosen = storePriorityCount;
    for (std::size_t index = 0; index < storePriorityCount; ++index) {
        const bool better = chosen == storePriorityCount || (fair && m_lastStart[index] < m_lastStart[chosen]);
        if (!m_queues[index].empty() && better) {
            chosen = index;
        }
    }
    return chosen;
}

void StoreCallScheduler::startDue(TimePoint now, StoreSchedulerActions &actions)
{
    expire(now, actions);
    refill(now);
    while (waiting() > 0 && m_tokens >= 1) {
        if (m_outage && (m_probe.has_value() || now < m_probeAt)) {
            return;
        }
        const std::size_t index = nextClass();
        const ScheduledCallId id = m_queues[index].front().id;
        m_queues[index].pop_front();
        m_tokens -= 1;
        m_lastStart[index] = ++m_starts;
        if (m_outage) {
            m_probe = id;
        }
        actions.emplace_back(StartStoreCall{id});
    }
}

std::optional<TimePoint> StoreCallScheduler::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const std::deque<Waiting> &queue : m_queues) {
        for (const Waiting &call : queue) {
            wake = std::min(wake.value_or(call.deadline), call.deadline);
        }
    }
    if (!wake.has_value() || (m_outage && m_probe.has_value())) {
        return wake;
    }
    TimePoint start = m_tokensAt;
    if (m_tokens < 1) {
        // One nanosecond more than the rounded time, so that the token is there at the wake-up.
        start += toDuration(Seconds((1 - m_tokens) / m_limits.callsPerSecond)) + Duration(1);
    }
    if (m_outage) {
        start = std::max(start, m_probeAt);
    }
    return std::min(*wake, start);
}

}
