#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Mangofall {

/**
 * \class WeightLoadSlot
 * \brief A load of weights that counts against the weight store's rate limit.
 */
struct WeightLoadSlot {
    std::uint64_t rate = 0; ///< Bytes per second that the engine may read from the weight store.
    Duration maxDuration{}; ///< Longest time from the write of the slot until the load has ended, even if its host fails.

    friend bool operator==(const WeightLoadSlot &, const WeightLoadSlot &) = default;
};

/// Value of the budget's key in the store: the slots in use, by slot name (host, incarnation and number of the claim).
using WeightLoadSlots = std::map<std::string, WeightLoadSlot>;

/// Event: this host wants an engine to load weights.
struct WeightLoadRequested {
    std::uint64_t id = 0; ///< Unique within the budget object.
    std::uint64_t rate = 0; ///< Bytes per second.
    Duration duration{}; ///< Longest time that the load itself takes; the user of this class cancels it at the engine after that.
};

/// Event: the engine has finished or refused the load.
struct WeightLoadFinished {
    std::uint64_t id = 0;
};

/// Event: the budget's key was read; version 0 means that it does not exist.
struct BudgetRead {
    std::uint64_t version = 0;
    WeightLoadSlots slots;
};

/// Event: WriteBudget succeeded and gave the key this version.
struct BudgetWritten {
    std::uint64_t version = 0;
};

/// Event: WriteBudget was rejected because the key no longer had the expected version.
struct BudgetConflict {
};

/// Event: a store call timed out or its response was lost; a write may have taken effect.
struct BudgetCallLost {
};

/// Event: periodic tick that continues the work when a wait has ended.
struct BudgetTick {
};

using BudgetEvent = std::variant<WeightLoadRequested, WeightLoadFinished, BudgetRead, BudgetWritten, BudgetConflict, BudgetCallLost, BudgetTick>;

/// Action: reads the budget's key.
struct ReadBudget {
};

/// Action: writes the budget's key if it still has the expected version.
struct WriteBudget {
    std::uint64_t expectedVersion = 0;
    WeightLoadSlots slots;
};

/// Action: starts the load, at the requested rate and for the requested duration.
struct StartWeightLoad {
    std::uint64_t id = 0;
};

/// Action: refuses the load, because its rate is above the limit and it could never start.
struct RefuseWeightLoad {
    std::uint64_t id = 0;
};

using BudgetAction = std::variant<ReadBudget, WriteBudget, StartWeightLoad, RefuseWeightLoad>;

/**
 * \class WeightLoadBudgetSettings
 * \brief The weight store's rate limit and the durations of the budget.
 */
struct WeightLoadBudgetSettings {
    std::uint64_t rateLimit = 0; ///< Bytes per second that all hosts together may load from the weight store.
    std::chrono::milliseconds startTimeout{5000}; ///< A load that has not started this long after the write of its slot releases the slot.
    std::chrono::milliseconds pollInterval{2000}; ///< Time between two reads while the budget is used up, and after a lost call.
    double clockDrift = 0.01; ///< Relative; fraction by which the wait for the expiry of another host's slot is extended.
};

/**
 * \class WeightLoadBudget
 * \brief Keeps the loads of all hosts within the weight store's rate limit, through one key of the platform's store.
 *
 * A slot whose host has failed is removed by other hosts once they have seen it for longer than its maximum duration.
 */
class WeightLoadBudget
{
public:
    using Actions = std::vector<BudgetAction>;

    WeightLoadBudget(const HostId &self, std::uint64_t incarnation, WeightLoadBudgetSettings settings);

    Actions handle(const BudgetEvent &event, TimePoint now);

private:
    void applyRead(const BudgetRead &event, TimePoint now, Actions &actions);
    void startClaimedLoad(TimePoint now, Actions &actions);
    void advance(TimePoint now, Actions &actions);
    WeightLoadSlots slotsToKeep(TimePoint now) const;

    std::string m_prefix;
    WeightLoadBudgetSettings m_settings;
    std::deque<WeightLoadRequested> m_waiting;
    std::map<std::string, WeightLoadRequested> m_running; ///< Started loads, by slot name.
    std::optional<std::uint64_t> m_version; ///< Version of the key; empty if the key must be read, for example after a write with unknown outcome.
    WeightLoadSlots m_slots; ///< Value of the key at m_version.
    WeightLoadSlots m_writtenSlots; ///< Value in the last WriteBudget.
    std::map<std::string, TimePoint> m_slotFirstSeenAt;
    TimePoint m_claimSentAt; ///< Time of the first write that may have stored m_claimedSlot.
    std::string m_claimedSlot; ///< Slot name claimed for the first waiting load; empty if no write with it was sent. A name is never reused, because other
                               ///< hosts measure a slot's age by its name.
    std::uint64_t m_claimCount = 0;
    bool m_callInFlight = false;
    TimePoint m_nextCallAt = TimePoint::min();
};

}
