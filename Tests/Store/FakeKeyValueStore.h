#pragma once

#include "StandIns/StoreState.h"
#include "Store/KeyValueStore.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Mangofall::Testing {

/**
 * \class FakeKeyValueStore
 * \brief A store in memory whose calls end when the test delivers them; applies the same rules as the stand-in.
 */
class FakeKeyValueStore final : public KeyValueStore
{
public:
    void get(const std::string &key, Duration timeout, ReadHandler handler) override;
    void compareAndSwap(const std::string &key,
                        std::string value,
                        std::uint64_t expectedVersion,
                        Duration timeout,
                        WriteHandler handler,
                        const std::string &leaseId = {}) override;
    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout, ReadHandler handler) override;
    void createLease(std::chrono::milliseconds timeToLive, Duration timeout, LeaseHandler handler) override;
    void renewLease(const std::string &id, Duration timeout, RenewHandler handler) override;

    /// While set, calls fail without reaching the store; writes then end as Unknown.
    void setOutage(bool outage);
    /// The next \p count writes are applied, but end as Unknown.
    void loseWriteAnswers(int count);
    /// Time for leases.
    void setTime(TimePoint now);
    /// Executes and ends the oldest call; false if there is none. Watches end when their key changes.
    bool completeNextCall();
    /// Delivers until no call is left, including those that handlers add.
    void completeAllCalls();
    /// Ends all waiting watches as Unchanged, as after their timeout.
    void timeOutWatches();

    std::size_t pendingCalls() const;
    StandIns::StoreState &state();

private:
    struct Watch {
        std::string key;
        std::uint64_t afterVersion = 0;
        ReadHandler handler;
    };

    StoreReadDone makeReadDone(const std::string &key) const;
    void completeDueWatches();

    StandIns::StoreState m_state;
    std::deque<std::function<void()>> m_calls;
    std::vector<Watch> m_watches;
    TimePoint m_now;
    bool m_outage = false;
    int m_remainingLostWriteAnswers = 0;
};

}
