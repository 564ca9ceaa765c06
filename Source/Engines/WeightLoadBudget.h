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
    std::uint64_t rate = 0; ///< Bytes per second that the engine may draw.
    Duration longest{}; ///< From the write of the slot until the load has certainly ended, even if its host is lost.

    friend bool operator==(const WeightLoadSlot &, const WeightLoadSlot &) = default;
};

/// Value of the budget's key: the loads in progress, by slot name (host, incarnation and number of the claim).
using WeightLoadSlots = std::map<std::string, WeightLoadSlot>;

struct WeightLoadWanted {
    std::uint64_t id = 0; ///< Unique within the budget object.
    std::uint64_t rate = 0;
    Duration duration{}; ///< Longest time that the load itself takes; the caller cancels it at the engine after that.
};

/// The engine has finished or refused the load.
struct WeightLoadFinished {
    std::uint64_t id = 0;
};

/// Version 0 means that the key does not exist.
struct BudgetRead {
    std::uint64_t version = 0;
    WeightLoadSlots slots;
};

struct BudgetWritten {
    std::uint64_t version = 0;
};

struct BudgetConflict {
};

/// A store call timed out or its response was lost; a write may have taken effect.
struct BudgetCallLost {
};

struct BudgetTick {
};

using BudgetEvent = std::variant<WeightLoadWanted, WeightLoadFinished, BudgetRead, BudgetWritten, BudgetConflict, BudgetCallLost, BudgetTick>;

struct ReadBudget {
};

struct WriteBudget {
    std::uint64_t expectedVersion = 0;
    WeightLoadSlots slots;
};

/// The load may start now, at the rate and for the duration asked for.
struct StartWeightLoad {
    std::uint64_t id = 0;
};

/// The load's rate is above the limit, so it can never start.
struct RefuseWeightLoad {
    std::uint64_t id = 0;
};

using BudgetAction = std::variant<ReadBudget, WriteBudget, StartWeightLoad, RefuseWeightLoad>;

/**
 * \class WeightLoadBudgetSettings
 * \brief The weight store's limit and the times of the budget.
 */
struct WeightLoadBudgetSettings {
    std::uint64_t rateLimit = 0; ///< Bytes per second of the weight store, for all hosts together.
    std::chrono::milliseconds startLimit{5000}; ///< A load that could not start this long after its slot's write gives the slot back.
    std::chrono::milliseconds pollInterval{2000}; ///< Between attempts while the budget is used up, and after a lost call.
    double clockDrift = 0.01; ///< Added to the wait on another host's slot.
};

/**
 * \class WeightLoadBudget
 * \brief Keeps the loads of all hosts within the weight store's rate limit, through one key of the platform's store.
 *
 * A slot whose host is lost is removed by others when they have seen it for its longest duration.
 */
class WeightLoadBudget
{
public:
    using Actions = std::vector<BudgetAction>;

    WeightLoadBudget(const HostId &self, std::uint64_t incarnation, WeightLoadBudgetSettings settings);

    Actions handle(const BudgetEvent &event, TimePoint now);

private:
    void onRead(const BudgetRead &event, TimePoint now, Actions &actions);
    void startOwn(TimePoint now, Actions &actions);
    void next(TimePoint now, Actions &actions);
    WeightLoadSlots wantedSlots(TimePoint now) const;

    std::string m_prefix;
    WeightLoadBudgetSettings m_settings;
    std::deque<WeightLoadWanted> m_waiting;
    std::map<std::string, WeightLoadWanted> m_running; ///< Started loads by slot name.
    std::optional<std::uint64_t> m_version; ///< Empty until read, and after a write with unknown outcome.
    WeightLoadSlots m_slots; ///< At that version.
    WeightLoadSlots m_written;
    std::map<std::string, TimePoint> m_firstSeen;
    TimePoint m_firstSent; ///< Of the earliest write that may have brought the present slot of the first waiting load.
    std::string m_claim; ///< Name of that slot; empty if no such write was sent. A name is never used twice: others date a slot by it.
    std::uint64_t m_claims = 0;
    bool m_calling = false;
    TimePoint m_notBefore = TimePoint::min();
};

}
