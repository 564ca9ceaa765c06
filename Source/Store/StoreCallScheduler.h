#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace Mangofall {

/// Priorities of store calls, highest first.
enum class StorePriority {
    Orders,
    Configuration,
    Rosters,
    History,
};

constexpr std::size_t storePriorityCount = 4;

/// Identifies a submitted call. The submitter chooses it; it is unique among the calls that have not ended.
using ScheduledCallId = std::uint64_t;

/// The call must be made now and its end reported with recordCallEnd().
struct StartStoreCall {
    ScheduledCallId id = 0;
};

/// The call must not be made: the queue of its priority is full, or its deadline passed while it waited.
struct RefuseStoreCall {
    ScheduledCallId id = 0;
};

using StoreSchedulerAction = std::variant<StartStoreCall, RefuseStoreCall>;
using StoreSchedulerActions = std::vector<StoreSchedulerAction>;

/// Rate, queue and backoff limits of a StoreCallScheduler.
struct StoreSchedulerLimits {
    double callsPerSecond = 50; ///< This host's share of the call rate that the store allows.
    double burst = 10; ///< Capacity of the token bucket: calls that may start at once after an idle period.
    std::size_t queueLimit = 1000; ///< Maximum number of waiting calls per priority.
    Duration firstBackoff = std::chrono::milliseconds(200); ///< Longest delay before the first probe; doubles with each failed probe.
    Duration maxBackoff = std::chrono::seconds(10); ///< Upper bound of the doubled delay.
};

/**
 * \class StoreCallScheduler
 * \brief Decides when this host's calls to the store start, using a token bucket, priorities, and backoff during an outage.
 *
 * Calls of a higher priority start first, but one start in eight goes to the priority with waiting calls that was served least recently, so that
 * none starves. A failed call begins an outage: no call starts until a random time within the backoff (full jitter) has passed, and then a single
 * call starts as a probe. This way hosts do not all call at the same time when the store becomes available again. The token bucket is empty when
 * an outage ends.
 */
class StoreCallScheduler
{
public:
    /// \p random must outlive the scheduler.
    StoreCallScheduler(StoreSchedulerLimits limits, RandomEngine &random);

    /// Queues a call, or refuses it if the queue of \p priority is full. A call that has not started by \p deadline is refused.
    StoreSchedulerActions submit(ScheduledCallId id, StorePriority priority, TimePoint deadline, TimePoint now);
    /// Records the end of a started call. \p answered is false if the store gave no answer or refused the call because of its rate limit.
    StoreSchedulerActions recordCallEnd(ScheduledCallId id, bool answered, TimePoint now);
    /// Refuses the calls whose deadline has passed and starts those that may start now. Must be called at nextTickTime().
    StoreSchedulerActions tick(TimePoint now);

    /// Time at which tick() must be called next; nothing if no call waits.
    std::optional<TimePoint> nextTickTime() const;
    /// Whether a call has failed and no call has been answered since.
    bool inOutage() const;
    std::size_t waitingCallCount() const;

private:
    struct WaitingCall {
        ScheduledCallId id = 0;
        TimePoint deadline;
    };

    void refuseExpiredCalls(TimePoint now, StoreSchedulerActions &actions);
    void startDueCalls(TimePoint now, StoreSchedulerActions &actions);
    void refillTokens(TimePoint now);
    void startBackoff(TimePoint now);
    /// Index of the priority whose first call starts next. At least one call must be waiting.
    std::size_t nextPriority() const;

    StoreSchedulerLimits m_limits;
    RandomEngine &m_random;
    std::array<std::deque<WaitingCall>, storePriorityCount> m_queues;
    std::array<std::uint64_t, storePriorityCount> m_lastStartNumbers{}; ///< Value of m_startCount at the last start of each priority.
    std::uint64_t m_startCount = 0;
    double m_tokens = 0;
    TimePoint m_refillTime; ///< Time up to which m_tokens is accounted for.
    bool m_inOutage = false;
    TimePoint m_probeTime; ///< Earliest start of the next probe during an outage.
    std::optional<ScheduledCallId> m_probeId; ///< The probe that has not ended.
    std::uint32_t m_failureCount = 0; ///< Failures counted in the current outage: the first one and each failed probe.
};

}
