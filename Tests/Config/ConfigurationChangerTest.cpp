#include "Config/FleetGenerators.h"

#include "Config/ConfigurationChanger.h"
#include "StandIns/StoreState.h"

#include <algorithm>
#include <deque>
#include <memory>

using namespace Mangofall;
using namespace std::chrono_literals;
using StandIns::StorePutStatus;
using StandIns::StoreState;

namespace {

/// How the simulated store treats a call.
enum class CallOutcome {
    Answered,
    AnswerLost, ///< The call is applied, but the changer gets no answer.
    CallLost, ///< The call never reaches the store.
    Delayed, ///< The changer gets no answer and the call is applied later.
};

/// Simulates changers of several operators on one store that executes calls in any order and may lose or delay calls and answers.
class ConcurrentChanges
{
public:
    explicit ConcurrentChanges(int operators)
    {
        const SplitConfiguration first = splitConfiguration(Testing::exampleConfiguration());
        for (const auto &[hash, text] : first.blobs) {
            m_store.put(blobKey(hash), text, 0);
        }
        m_store.put(rootKey, encodeRoot(first.root), 0);
        m_history.push_back(first.root.recentChanges.back());
        for (int index = 0; index < operators; ++index) {
            ConfigurationChange change{ChangeId("c" + std::to_string(index)), PutPreset{}};
            std::get<PutPreset>(change.action).preset.name = PresetName("by-" + std::to_string(index));
            m_operators.push_back({change, nullptr, std::nullopt, TimePoint::max()});
        }
    }

    void run()
    {
        for (std::size_t index = 0; index < m_operators.size(); ++index) {
            startChanger(index);
        }
        while (unfinished()) {
            step(*rc::gen::element(CallOutcome::Answered, CallOutcome::Answered, CallOutcome::AnswerLost, CallOutcome::CallLost, CallOutcome::Delayed));
        }
    }

    /// Repeats every unresolved change while the store answers all calls.
    void resolveAll()
    {
        applyDelayed(m_delayed.size());
        for (std::size_t index = 0; index < m_operators.size(); ++index) {
            if (m_operators[index].answer->result == ChangeResult::Unresolved) {
                startChanger(index);
            }
        }
        while (unfinished()) {
            step(CallOutcome::Answered);
        }
    }

    int historyEntryCount(const ChangeId &id) const
    {
        return static_cast<int>(std::ranges::count(m_history, id, &RecentChange::id));
    }

    void check() const
    {
        for (const Operator &entry : m_operators) {
            const int count = historyEntryCount(entry.change.id);
            RC_ASSERT(count <= 1);
            RC_ASSERT(entry.answer->result != ChangeResult::Rejected || count == 0);
            if (entry.answer->result == ChangeResult::Accepted) {
                RC_ASSERT(count == 1);
                RC_ASSERT(std::ranges::find(m_history, entry.change.id, &RecentChange::id)->revision == entry.answer->revision);
            }
        }
    }

    bool allResolved() const
    {
        return std::ranges::all_of(m_operators, [](const Operator &entry) {
            return entry.answer->result != ChangeResult::Unresolved;
        });
    }

    void checkFinalPresets() const
    {
        const ConfigurationRoot root = storedRoot();
        ConfigurationBlobs blobs;
        for (const std::string &hash : missingBlobs(root, {})) {
            blobs[hash] = m_store.find(blobKey(hash))->bytes;
        }
        ConfigurationProblems problems;
        const auto configuration = joinConfiguration(root, blobs, problems);
        RC_ASSERT(configuration.has_value());
        for (const Operator &entry : m_operators) {
            const bool present = configuration->presets.contains(std::get<PutPreset>(entry.change.action).preset.name);
            RC_ASSERT(present == (entry.answer->result == ChangeResult::Accepted));
        }
    }

private:
    struct Operator {
        ConfigurationChange change;
        std::unique_ptr<ConfigurationChanger> changer;
        std::optional<ChangeAnswer> answer;
        TimePoint wakeAt;
    };

    struct Call {
        std::size_t changer = 0;
        ChangerAction action;
    };

    bool unfinished() const
    {
        return std::ranges::any_of(m_operators, [](const Operator &entry) {
            return !entry.answer.has_value();
        });
    }

    void startChanger(std::size_t index)
    {
        Operator &entry = m_operators[index];
        entry.answer.reset();
        entry.changer = std::make_unique<ConfigurationChanger>(entry.change, 5s, WallTime(), m_random);
        handleActions(index, entry.changer->start(m_now));
    }

    void handleActions(std::size_t index, const ChangerActions &actions)
    {
        for (const ChangerAction &action : actions) {
            if (const auto *finished = std::get_if<ChangeFinished>(&action)) {
                m_operators[index].answer = finished->answer;
            } else if (const auto *wake = std::get_if<WakeChangerAt>(&action)) {
                m_operators[index].wakeAt = wake->time;
            } else {
                m_calls.push_back({index, action});
            }
        }
    }

    void step(CallOutcome outcome)
    {
        if (!m_delayed.empty() && *rc::gen::inRange(0, 3) == 0) {
            applyDelayed(1);
        }
        if (m_calls.empty()) {
            tick();
            return;
        }
        const auto chosen = m_calls.begin() + *rc::gen::inRange<int>(0, static_cast<int>(m_calls.size()));
        const Call call = *chosen;
        m_calls.erase(chosen);
        m_now += 1ms;
        if (const auto *read = std::get_if<ReadConfigurationKey>(&call.action)) {
            answerRead(call.changer, *read, outcome == CallOutcome::Answered || outcome == CallOutcome::Delayed);
        } else {
            answerWrite(call.changer, std::get<WriteConfigurationKey>(call.action), outcome);
        }
    }

    void tick()
    {
        auto next = TimePoint::max();
        for (const Operator &entry : m_operators) {
            next = entry.answer.has_value() ? next : std::min(next, entry.wakeAt);
        }
        m_now = std::max(m_now + 1ms, next);
        for (std::size_t index = 0; index < m_operators.size(); ++index) {
            if (!m_operators[index].answer.has_value()) {
                handleActions(index, m_operators[index].changer->handle(ChangerTick(), m_now));
            }
        }
    }

    void answerRead(std::size_t index, const ReadConfigurationKey &read, bool answered)
    {
        StoreReadDone done{read.key, StoreReadStatus::Failed, {}, 0};
        if (answered) {
            const StoreState::Value *value = m_store.find(read.key);
            done = value == nullptr ? StoreReadDone{read.key, StoreReadStatus::Missing, {}, 0}
                                    : StoreReadDone{read.key, StoreReadStatus::Found, value->bytes, value->version};
        }
        handleActions(index, m_operators[index].changer->handle(done, m_now));
    }

    void answerWrite(std::size_t index, const WriteConfigurationKey &write, CallOutcome outcome)
    {
        StoreWriteStatus status = StoreWriteStatus::Unknown;
        if (outcome == CallOutcome::Delayed) {
            m_delayed.push_back(write);
        } else if (outcome != CallOutcome::CallLost) {
            const bool applied = put(write);
            if (outcome == CallOutcome::Answered) {
                status = applied ? StoreWriteStatus::Applied : StoreWriteStatus::Conflict;
            }
        }
        handleActions(index, m_operators[index].changer->handle(StoreWriteDone{write.key, status}, m_now));
    }

    void applyDelayed(std::size_t count)
    {
        for (; count > 0; --count) {
            put(m_delayed.front());
            m_delayed.pop_front();
        }
    }

    bool put(const WriteConfigurationKey &write)
    {
        const bool applied = m_store.put(write.key, write.value, write.expectedVersion).status == StorePutStatus::Applied;
        if (applied && write.key == rootKey) {
            const ConfigurationRoot root = storedRoot();
            RC_ASSERT(root.revision == m_history.back().revision + 1);
            m_history.push_back(root.recentChanges.back());
        }
        return applied;
    }

    ConfigurationRoot storedRoot() const
    {
        ConfigurationProblems problems;
        return decodeRoot(m_store.find(rootKey)->bytes, problems).value();
    }

    RandomEngine m_random{20261204};
    StoreState m_store;
    TimePoint m_now;
    std::vector<Operator> m_operators;
    std::vector<Call> m_calls;
    std::deque<WriteConfigurationKey> m_delayed;
    std::vector<RecentChange> m_history;
};

template<class Action>
const Action *find(const ChangerActions &actions)
{
    for (const ChangerAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/// A changer that got no answer to its write of the root on top of the example configuration and is reading the root back.
struct UnansweredWrite {
    UnansweredWrite()
    {
        const SplitConfiguration first = splitConfiguration(Testing::exampleConfiguration());
        changer.start(now);
        changer.handle(StoreReadDone{rootKey, StoreReadStatus::Found, encodeRoot(first.root), 1}, now);
        ChangerActions actions;
        for (const auto &[hash, text] : first.blobs) {
            actions = changer.handle(StoreReadDone{blobKey(hash), StoreReadStatus::Found, text, 1}, now);
        }
        CHECK(find<WriteConfigurationKey>(actions) != nullptr);
        changer.handle(StoreWriteDone{rootKey, StoreWriteStatus::Unknown}, now);
        now += 3s;
        CHECK(find<ReadConfigurationKey>(changer.handle(ChangerTick(), now)) != nullptr);
    }

    /// Answers the read of the root with its value after \p others changes by other operators.
    ChangerActions readBack(int others)
    {
        FleetConfiguration configuration = Testing::exampleConfiguration();
        for (int index = 0; index < others; ++index) {
            const ConfigurationChange change{ChangeId("o" + std::to_string(index)), UsePreset{PresetName("peak")}};
            configuration = std::get<FleetConfiguration>(applyChange(configuration, change, WallTime()));
        }
        const std::string root = encodeRoot(splitConfiguration(configuration).root);
        return changer.handle(StoreReadDone{rootKey, StoreReadStatus::Found, root, static_cast<std::uint64_t>(1 + others)}, now);
    }

    RandomEngine random{1};
    TimePoint now;
    ConfigurationChanger changer{{ChangeId("mine"), UsePreset{PresetName("peak")}}, 30s, WallTime(), random};
};

}

TEST_GROUP(ConfigurationChangerTest){};

// Guards against an accepted change that is lost or applied twice, a rejected one that took effect, and a revision that repeats or decreases, when
// operators make changes concurrently and calls or answers are lost or late.
TEST(ConfigurationChangerTest, RacingOperatorsNeverLoseOrDoubleAChange)
{
    Testing::checkProperty("accepted changes take effect once", [] {
        ConcurrentChanges changes(*rc::gen::inRange(1, 5));
        changes.run();
        changes.check();
        changes.resolveAll();
        changes.check();
        RC_ASSERT(changes.allResolved());
        changes.checkFinalPresets();
    });
}

// Guards against applying a change twice because its id has already been dropped from the bounded list of recent changes.
TEST(ConfigurationChangerTest, ReportsUnresolvedIfTheListNoLongerReachesBack)
{
    UnansweredWrite fewChanges;
    CHECK(find<WriteConfigurationKey>(fewChanges.readBack(10)) != nullptr);
    UnansweredWrite manyChanges;
    const ChangerActions actions = manyChanges.readBack(static_cast<int>(maxRecentChanges) + 1);
    CHECK(find<ChangeFinished>(actions) != nullptr);
    CHECK(find<ChangeFinished>(actions)->answer.result == ChangeResult::Unresolved);
}

// Guards against the answer "rejected" while a write without an answer may still take effect.
TEST(ConfigurationChangerTest, ReportsUnresolvedAfterTheDeadlineOnlyIfAWriteIsUnanswered)
{
    UnansweredWrite unanswered;
    const ChangerActions unresolved = unanswered.changer.handle(ChangerTick(), unanswered.now + 60s);
    CHECK(find<ChangeFinished>(unresolved)->answer.result == ChangeResult::Unresolved);
    RandomEngine random(1);
    ConfigurationChanger unsent({ChangeId("x"), UsePreset{PresetName("peak")}}, 30s, WallTime(), random);
    unsent.start(TimePoint());
    const ChangerActions rejected = unsent.handle(ChangerTick(), TimePoint() + 60s);
    CHECK(find<ChangeFinished>(rejected)->answer.result == ChangeResult::Rejected);
}
