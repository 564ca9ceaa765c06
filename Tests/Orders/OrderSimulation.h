#pragma once

#include "Base/ErrorAnswer.h"
#include "Base/RandomEngine.h"
#include "Orders/OrderService.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Mangofall::Testing {

using namespace Orders;

/**
 * \class OrderSimulation
 * \brief Simulates several owners of one shard, a store, an upstream and callers on one simulated clock, with random faults.
 *
 * The faults are store outages, delays and lost answers (the write takes effect before or after the timeout or never), kills and
 * pauses of hosts between any two of their actions, lost and reordered upstream answers, and several hosts that are told to
 * become owner.
 */
class OrderSimulation
{
public:
    /// \p singleClaims selects SingleClaimLedger, with which all hosts accept orders at once.
    OrderSimulation(std::uint64_t seed, bool singleClaims);

    /// Simulates callers and faults, then a time without faults in which status calls are answered, then one retry of each key.
    void run();

    /// Descriptions of the rules that were violated.
    const std::vector<std::string> &violations() const;

    /// Number of attempts that ran at the upstream.
    int runs() const;

    /// Number of store writes whose answer was dropped as a fault.
    int lostWriteAnswers() const;

private:
    struct Host {
        std::unique_ptr<OrderService> service;
        std::uint64_t incarnation = 0;
        Epoch epoch = 0;
        TimePoint pausedUntil;
    };

    struct Attempt {
        OrderKey key;
        Epoch epoch = 0;
        bool ran = false;
        bool cannotRun = false;
        bool sent = false;
        TimePoint sentAt; ///< When the service issued the SendOrder.
    };

    struct StoredValue {
        StoreVersion version = 0;
        std::string value;
    };

    bool chance(double probability);
    Duration randomDelay(int maxMilliseconds);
    void schedule(Duration delay, std::function<void()> action);
    void deliverToHost(std::size_t host, std::function<OrderActions(OrderService &)> event);
    void performActions(std::size_t host, OrderActions actions);
    void restart(std::size_t host);
    void sendRequest(std::size_t host, const OrderKey &key, bool isFinalRetry);
    void execute(std::size_t host, const ReadKey &action);
    void execute(std::size_t host, const WriteKey &action);
    void execute(std::size_t host, const SendOrder &action);
    void execute(std::size_t host, const CallStatus &action);
    void execute(std::size_t host, const AnswerCaller &action);
    void execute(std::size_t host, const ForwardOutcome &action);
    void execute(std::size_t host, const OwnershipLost &action);
    void check(std::size_t host, const OrderAction &action);
    void require(bool condition, const std::string &violation);
    void tickAllHosts();
    void requireAllResolved();
    void runUntil(TimePoint end);
    bool couldKnowOf(std::size_t host, const Attempt &attempt) const;
    int runsOf(const OrderKey &key) const;

    RandomEngine m_random;
    bool m_singleClaims;
    TimePoint m_now{std::chrono::seconds(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    std::map<std::string, StoredValue> m_store;
    std::vector<std::pair<AttemptId, Attempt>> m_attempts; ///< Attempts that a service sent or that a status call barred from running.
    std::set<std::string> m_unansweredCallers; ///< Requests that have no answer yet.
    std::map<std::string, std::string> m_reportedBodies; ///< Body of the outcome that callers received, by order key.
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_lastStoreContact; ///< When the store last processed a call of a host for a key.
    std::map<std::string, std::string> m_finalAnswers; ///< Answers to the final retries, by order key.
    std::vector<std::string> m_violations;
    bool m_faultsEnabled = true;
    bool m_storeDown = false;
    int m_lastCallerNumber = 0;
    int m_lostWriteAnswers = 0;
};

}
