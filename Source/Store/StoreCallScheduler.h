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

/// Classes of store calls, most urgent first.
enum class StorePriority {
    Orders,
    Configuration,
    Rosters,
    History,
};

constexpr std::size_t storePriorityCount = 4;

/// Names a submitted call; chosen by the submitter, unique among its open calls.
using ScheduledCallId = std::uint64_t;

/// Make the call now and report its end with finished().
struct StartStoreCall {
    ScheduledCallId id = 0;
};

/// The call is not made: its class's queue is full, or its deadline passed while it waited.
struct RefuseStoreCall {
    ScheduledCallId id = 0;
};

using StoreSchedulerAction = std::variant<StartStoreCall, RefuseStoreCall>;
using StoreSchedulerActions = std::vector<StoreSchedulerAction>;

/// Constants of StoreCallScheduler.
struct StoreSchedulerLimits {
    double callsPerSecond = 50; ///< This host's share of the store's rate.
    double burst = 10; ///< Calls that may start at once after a quiet time.
    std::size_t queueLimit = 1000; ///< Waiting calls per class.
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(10);
};

/**
 * \class StoreCallScheduler
 * \brief Decides when this host's calls to the store start: a token bucket, priorities, and backoff in an outage.
 *
 * More urgent classes go first, but one start in eight goes to the least recently served class that waits, so that none starves. After a failed
 * call nothing starts until a random time within the backoff (full jitter), and then a single call as a probe; hosts that see the store return
 * therefore don't call together. The bucket is empty when an outage ends.
 */
class StoreCallScheduler
{
public:
    /// \p random must outlive the scheduler.
    StoreCallScheduler(StoreSchedulerLimits limits, RandomEngine &random);

    StoreSchedulerActions submit(ScheduledCallId id, StorePriority priority, TimePoint deadline, TimePoint now);
    /// Reports the end of a started call; \p answered is false if the store gave no answer or refused for its rate.
    StoreSchedulerActions recordCallEnd(ScheduledCallId id, bool answered, TimePoint now);
    /// Due at nextTickTime().
    StoreSchedulerActions tick(TimePoint now);

    /// When tick() must be called next; nothing if no call waits.
    std::optional<TimePoint> nextTickTime() const;
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
    /// The class whose first call starts next; requires a waiting call.
    std::size_t nextPriority() const;

    StoreSchedulerLimits m_limits;
    RandomEngine &m_random;
    std::array<std::deque<WaitingCall>, storePriorityCount> m_queues;
    std::array<std::uint64_t, storePriorityCount> m_lastStartNumbers{}; ///< Number of the last start of each class.
    std::uint64_t m_startCount = 0;
    double m_tokens = 0;
    TimePoint m_refillTime;
    bool m_inOutage = false;
    TimePoint m_probeTime;
    std::optional<ScheduledCallId> m_probeId;
    std::uint32_t m_failureCount = 0;
};

}
