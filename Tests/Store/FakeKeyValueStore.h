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
 * \brief In-memory key-value store for tests. Calls are queued until the test completes them. Applies the rules of the store stand-in.
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
    void renewLease(const std::string &leaseId, Duration timeout, RenewHandler handler) override;

    /// During an outage, calls fail without changing the stored data; writes end as Unknown.
    void setOutage(bool outage);
    /// The next \p count writes take effect, but end as Unknown.
    void loseWriteAnswers(int count);
    /// Sets the time that leases use, and expires the leases that have ended by then.
    void setTime(TimePoint now);
    /// Executes the oldest queued call and returns whether there was one. A watch is only registered if its key has not changed yet; it ends
    /// when the key changes, in an outage, or with timeOutWatches().
    bool completeNextCall();
    /// Executes queued calls until none is left, including those that handlers add.
    void completeAllCalls();
    /// Ends all waiting watches as Unchanged, as if they had timed out.
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
