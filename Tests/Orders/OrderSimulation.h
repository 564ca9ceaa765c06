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
 * \brief Several owners of one shard, a store, an upstream and callers on one simulated clock, with faults at random.
 *
 * Faults: store outages, delays and lost answers (the write takes effect before, after or never), kills and pauses of
 * hosts between any two of their actions, lost and reordered upstream answers, ownership claimed by several hosts.
 */
class OrderSimulation
{
public:
    /// \p single selects the simple ledger, whose hosts all take orders at once.
    OrderSimulation(std::uint64_t seed, bool single);

    /// Runs callers and faults, then ends the faults, lets status calls answer and retries every key once.
    void run();

    const std::vector<std::string> &violations() const;
    int runs() const;
    int claimsWrittenWithFaults() const;

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
        TimePoint sentAt; ///< When its service decided to send it.
    };

    struct Value {
        StoreVersion version = 0;
        std::string value;
    };

    bool chance(double probability);
    Duration delay(int most);
    void later(Duration in, std::function<void()> action);
    void toHost(std::size_t host, std::function<OrderActions(OrderService &)> event);
    void perform(std::size_t host, OrderActions actions);
    void restart(std::size_t host);
    void call(std::size_t host, const OrderKey &key, bool last);
    void act(std::size_t host, const ReadKey &action);
    void act(std::size_t host, const WriteKey &action);
    void act(std::size_t host, const SendOrder &action);
    void act(std::size_t host, const CallStatus &action);
    void act(std::size_t host, const AnswerCaller &action);
    void act(std::size_t host, const ForwardOutcome &action);
    void act(std::size_t host, const OwnershipLost &action);
    void check(std::size_t host, const OrderAction &action);
    void require(bool condition, const std::string &violation);
    void tickAll();
    void requireAllResolved();
    void runUntil(TimePoint end);
    bool couldKnow(std::size_t host, const Attempt &attempt) const;
    int runsOf(const OrderKey &key) const;

    RandomEngine m_random;
    bool m_single;
    TimePoint m_now{std::chrono::seconds(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    std::map<std::string, Value> m_store;
    std::vector<std::pair<AttemptId, Attempt>> m_attempts; ///< Every send that a service decided on.
    std::set<std::string> m_open; ///< Callers without answer.
    std::map<std::string, std::string> m_doneBodies; ///< Outcome told to any caller, by key.
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_seenAt; ///< When the store last served a host's call for a key.
    std::map<std::string, std::string> m_lastAnswers;
    std::vector<std::string> m_violations;
    bool m_faults = true;
    bool m_storeDown = false;
    int m_lastCaller = 0;
    int m_faultyWrites = 0;
};

}
