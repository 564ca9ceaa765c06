#include "Store/StoreCallScheduler.h"

#include <algorithm>
#include <random>

namespace Mangofall {

namespace {

// One start in eight goes to the least recently served priority, so the highest priorities keep at least seven eighths of the call rate.
constexpr std::uint64_t leastRecentStartInterval = 8;
// Bounds the shift by which the backoff doubles. After this many doublings the backoff has reached its upper limit.
constexpr std::uint32_t maxDoublings = 16;

}

StoreCallScheduler::StoreCallScheduler(StoreSchedulerLimits limits, RandomEngine &random)
    : m_limits(limits)
    , m_random(random)
    , m_tokens(limits.burst)
{
}

bool StoreCallScheduler::inOutage() const
{
    return m_inOutage;
}

std::size_t StoreCallScheduler::waitingCallCount() const
{
    std::size_t count = 0;
    for (const std::deque<WaitingCall> &queue : m_queues) {
        count += queue.size();
    }
    return count;
}

StoreSchedulerActions StoreCallScheduler::submit(ScheduledCallId id, StorePriority priority, TimePoint deadline, TimePoint now)
{
    StoreSchedulerActions actions;
    std::deque<WaitingCall> &queue = m_queues[static_cast<std::size_t>(priority)];
    if (queue.size() >= m_limits.queueLimit) {
        actions.emplace_back(RefuseStoreCall{id});
        return actions;
    }
    queue.push_back({id, deadline});
    startDueCalls(now, actions);
    return actions;
}

StoreSchedulerActions StoreCallScheduler::recordCallEnd(ScheduledCallId id, bool answered, TimePoint now)
{
    const bool wasProbe = m_probeId == id;
    if (wasProbe) {
        m_probeId.reset();
    }
    if (answered && m_inOutage) {
        m_inOutage = false;
        m_failureCount = 0;
        m_tokens = 0;
        m_refillTime = now;
    } else if (!answered && (!m_inOutage || wasProbe)) {
        // Failures of calls that were already in flight when the outage was detected do not lengthen the backoff.
        startBackoff(now);
    }
    return tick(now);
}

StoreSchedulerActions StoreCallScheduler::tick(TimePoint now)
{
    StoreSchedulerActions actions;
    startDueCalls(now, actions);
    return actions;
}

void StoreCallScheduler::startBackoff(TimePoint now)
{
    const Duration delayLimit = std::min<Duration>(m_limits.maxBackoff, m_limits.firstBackoff * (1LL << std::min(m_failureCount, maxDoublings)));
    std::uniform_int_distribution<Duration::rep> delay(0, delayLimit.count());
    m_inOutage = true;
    ++m_failureCount;
    m_probeTime = now + Duration(delay(m_random));
}

void StoreCallScheduler::refuseExpiredCalls(TimePoint now, StoreSchedulerActions &actions)
{
    for (std::deque<WaitingCall> &queue : m_queues) {
        std::erase_if(queue, [&](const WaitingCall &call) {
            if (call.deadline > now) {
                return false;
            }
            actions.emplace_back(RefuseStoreCall{call.id});
            return true;
        });
    }
}

void StoreCallScheduler::refillTokens(TimePoint now)
{
    if (now > m_refillTime) {
        m_tokens = std::min(m_limits.burst, m_tokens + Seconds(now - m_refillTime).count() * m_limits.callsPerSecond);
        m_refillTime = now;
    }
}

std::size_t StoreCallScheduler::nextPriority() const
{
    const bool leastRecentFirst = (m_startCount + 1) % leastRecentStartInterval == 0;
    std::size_t chosen = storePriorityCount;
    for (std::size_t index = 0; index < storePriorityCount; ++index) {
        const bool preferred = chosen == storePriorityCount || (leastRecentFirst && m_lastStartNumbers[index] < m_lastStartNumbers[chosen]);
        if (!m_queues[index].empty() && preferred) {
            chosen = index;
        }
    }
    return chosen;
}

void StoreCallScheduler::startDueCalls(TimePoint now, StoreSchedulerActions &actions)
{
    refuseExpiredCalls(now, actions);
    refillTokens(now);
    while (waitingCallCount() > 0 && m_tokens >= 1) {
        if (m_inOutage && (m_probeId.has_value() || now < m_probeTime)) {
            return;
        }
        const std::size_t index = nextPriority();
        const ScheduledCallId id = m_queues[index].front().id;
        m_queues[index].pop_front();
        m_tokens -= 1;
        m_lastStartNumbers[index] = ++m_startCount;
        if (m_inOutage) {
            m_probeId = id;
        }
        actions.emplace_back(StartStoreCall{id});
    }
}

std::optional<TimePoint> StoreCallScheduler::nextTickTime() const
{
    std::optional<TimePoint> nextTime;
    for (const std::deque<WaitingCall> &queue : m_queues) {
        for (const WaitingCall &call : queue) {
            nextTime = std::min(nextTime.value_or(call.deadline), call.deadline);
        }
    }
    if (!nextTime.has_value() || (m_inOutage && m_probeId.has_value())) {
        return nextTime;
    }
    TimePoint startTime = m_refillTime;
    if (m_tokens < 1) {
        // Duration is rounded, so add one nanosecond to make sure that the token is available at that time.
        startTime += toDuration(Seconds((1 - m_tokens) / m_limits.callsPerSecond)) + Duration(1);
    }
    if (m_inOutage) {
        startTime = std::max(startTime, m_probeTime);
    }
    return std::min(*nextTime, startTime);
}

}
