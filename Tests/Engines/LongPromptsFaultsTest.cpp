#include "Engines/LongPromptCoordinator.h"
#include "Engines/LongPromptPlanner.h"
#include "Engines/OrphanCollector.h"
#include "Engines/ReservationTable.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

// Property.h comes last: CppUTest defines new as a macro, and the headers above use new.
#include "Property.h"

using namespace Mangofall;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t engineCount = 4;
constexpr std::size_t promptCount = 8;
constexpr std::uint64_t engineMemoryTokens = 100;

// Simulates engines with their dispatchers, and prompts whose callers retry until they are served, on one simulated clock.
class Simulation
{
public:
    Simulation(std::uint64_t seed, bool faults)
        : m_random(seed)
        , m_faults(faults)
        , m_engines(engineCount)
        , m_prompts(promptCount)
    {
        for (Engine &engine : m_engines) {
            replaceDispatcher(engine, m_now - m_limits.validity);
        }
        for (Prompt &prompt : m_prompts) {
            prompt.tokens = 120 + m_random(200);
            startPrompt(prompt);
        }
        tick();
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    // Stops faults and new attempts; running attempts continue.
    void stopFaults()
    {
        m_faults = false;
        m_callersRetry = false;
    }

    std::size_t served() const
    {
        return static_cast<std::size_t>(std::count_if(m_prompts.begin(), m_prompts.end(), [](const Prompt &prompt) {
            return prompt.served;
        }));
    }

    bool allEnded() const
    {
        return std::all_of(m_prompts.begin(), m_prompts.end(), [](const Prompt &prompt) {
            return !prompt.coordinator || prompt.coordinator->isEnded();
        });
    }

    bool nothingAllocated() const
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [](const Engine &engine) {
            return engine.blocks.empty() && engine.table->reservedTokens() == 0;
        });
    }

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    int crashes = 0;
    int blockCount = 0;

private:
    struct Engine {
        std::unique_ptr<ReservationTable> table;
        std::unique_ptr<OrphanCollector> collector;
        std::map<std::string, KvBlock> blocks;
        std::uint64_t epoch = 0;
    };

    struct Prompt {
        std::uint64_t tokens = 0;
        std::uint64_t attempt = 0;
        std::unique_ptr<LongPromptCoordinator> coordinator;
        LongPromptPlan plan;
        TimePoint reservationCallsLostUntil; ///< Reservation calls are lost until this time, while the chain continues.
        bool running = false;
        bool served = false;
    };

    bool injectFault(std::uint64_t percent)
    {
        return m_faults && m_random(100) < percent;
    }

    void schedule(Duration in, std::function<void()> action)
    {
        m_events.emplace(m_now + in, std::move(action));
    }

    // Delivers a message after a delay, or never.
    void send(std::function<void()> action)
    {
        if (!injectFault(4)) {
            schedule(milliseconds(1 + m_random(200)), std::move(action));
        }
    }

    static std::size_t indexOf(const UpstreamId &upstream)
    {
        return std::stoul(upstream.value());
    }

    void replaceDispatcher(Engine &engine, TimePoint start)
    {
        engine.table = std::make_unique<ReservationTable>(engineMemoryTokens, start, m_limits);
        engine.collector = std::make_unique<OrphanCollector>(m_limits.orphanGrace);
    }

    void startPrompt(Prompt &prompt)
    {
        std::vector<EngineMemory> engines;
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back(
                {UpstreamId(std::to_string(i)), DataCentreId("a"), engineMemoryTokens, engineMemoryTokens - m_engines[i].table->reservedTokens()});
        }
        const LongPromptPlanResult result = LongPromptPlanner::plan(prompt.tokens, 10, engines);
        if (std::holds_alternative<ErrorKind>(result)) {
            scheduleNextAttempt(prompt);
            return;
        }
        prompt.plan = std::get<LongPromptPlan>(result);
        const auto promptNumber = static_cast<std::uint64_t>(&prompt - m_prompts.data());
        const std::array<AttemptId, 2> attempts{AttemptId{promptNumber, prompt.attempt, 0}, AttemptId{promptNumber, prompt.attempt, 1}};
        ++prompt.attempt;
        prompt.coordinator = std::make_unique<LongPromptCoordinator>(prompt.plan, attempts, m_now + seconds(60), m_limits);
        executeAll(prompt, prompt.coordinator->start(m_now));
    }

    void scheduleNextAttempt(Prompt &prompt)
    {
        schedule(milliseconds(200 + m_random(2'000)), [this, &prompt] {
            if (m_callersRetry && (!prompt.coordinator || prompt.coordinator->isEnded())) {
                startPrompt(prompt);
            }
        });
    }

    void executeAll(Prompt &prompt, const LongPromptActions &actions)
    {
        for (const LongPromptAction &action : actions) {
            if (injectFault(1)) {
                // The host that runs the coordinator crashes between two of its actions.
                ++crashes;
                prompt.coordinator.reset();
                prompt.running = false;
                scheduleNextAttempt(prompt);
                return;
            }
            std::visit(
                [&](const auto &typed) {
                    execute(prompt, typed);
                },
                action);
        }
    }

    void execute(Prompt &prompt, const ReserveAt &action)
    {
        if (m_now < prompt.reservationCallsLostUntil) {
            return;
        }
        send([this, &prompt, action] {
            Engine &engine = m_engines[indexOf(action.upstream)];
            const ReservationActions actions = engine.table->handle(ReserveMemory{action.owner, action.tokens, action.isRenewal}, m_now);
            executeAll(engine, actions);
            const auto &answer = std::get<ReservationAnswered>(actions.back());
            send([this, &prompt, action, granted = answer.granted] {
                if (prompt.coordinator) {
                    executeAll(prompt, prompt.coordinator->handle(ReserveAtAnswered{action.upstream, action.owner, granted}, m_now, m_random));
                }
            });
        });
    }

    void execute(Prompt &prompt, const ReleaseAt &action)
    {
        if (m_now < prompt.reservationCallsLostUntil) {
            return;
        }
        send([this, action] {
            Engine &engine = m_engines[indexOf(action.upstream)];
            executeAll(engine, engine.table->handle(ReleaseMemory{action.owner}, m_now));
        });
    }

    void execute(Prompt &prompt, const RunChainStep &action)
    {
        prompt.running = true;
        checkReservedMemory();
        Engine &engine = m_engines[indexOf(action.segment.upstream)];
        schedule(milliseconds(100 + m_random(1'500)), [this, &prompt, &engine, action, epoch = engine.epoch] {
            if (engine.epoch != epoch) {
                answer(prompt, {action.segment.upstream, action.owner, action.kind, false, {}});
                return;
            }
            KvBlockId block;
            if (action.kind == ChainStepKind::Export || action.kind == ChainStepKind::Import) {
                block = KvBlockId(std::to_string(++blockCount));
                const KvBlockKind kind = action.kind == ChainStepKind::Export ? KvBlockKind::Exported : KvBlockKind::Pinned;
                engine.blocks[block.value()] = {block, kind, action.owner};
                send([this, &engine, added = engine.blocks[block.value()]] {
                    executeAll(engine, engine.table->handle(BlockAdded{added}, m_now));
                });
            }
            answer(prompt, {action.segment.upstream, action.owner, action.kind, true, block});
        });
    }

    void execute(Prompt &prompt, const LongPromptEnded &action)
    {
        prompt.running = false;
        prompt.served = prompt.served || action.error == ErrorKind::None;
        if (!prompt.served || m_faults) {
            scheduleNextAttempt(prompt);
        }
    }

    void answer(Prompt &prompt, const ChainStepEnded &event)
    {
        send([this, &prompt, event] {
            if (prompt.coordinator) {
                executeAll(prompt, prompt.coordinator->handle(event, m_now));
            }
        });
    }

    void executeAll(Engine &engine, const ReservationActions &actions)
    {
        for (const ReservationAction &action : actions) {
            if (const auto *free = std::get_if<FreeBlock>(&action)) {
                freeBlock(engine, *free);
            }
        }
    }

    void freeBlock(Engine &engine, const FreeBlock &action)
    {
        send([&engine, id = action.block.id.value()] {
            engine.blocks.erase(id);
        });
    }

    void tick()
    {
        for (Engine &engine : m_engines) {
            if (injectFault(1) && m_random(4) == 0) {
                ++crashes;
                ++engine.epoch;
                engine.blocks.clear();
            }
            if (injectFault(1) && m_random(4) == 0) {
                ++crashes;
                replaceDispatcher(engine, m_now);
            }
            executeAll(engine, engine.table->handle(ReservationTick(), m_now));
        }
        if (++m_ticks % 10 == 0) {
            listHeldBlocks();
        }
        for (Prompt &prompt : m_prompts) {
            if (injectFault(1)) {
                prompt.reservationCallsLostUntil = m_now + milliseconds(m_random(20'000));
            }
            if (prompt.coordinator) {
                executeAll(prompt, prompt.coordinator->handle(LongPromptTick(), m_now, m_random));
            }
        }
        checkReservedMemory();
        schedule(milliseconds(100), [this] {
            tick();
        });
    }

    void listHeldBlocks()
    {
        for (Engine &engine : m_engines) {
            HeldBlocksListed listed{{}, engine.table->owners()};
            for (const auto &[id, block] : engine.blocks) {
                listed.blocks.push_back(block);
            }
            for (const FreeBlock &freeable : engine.collector->handle(listed, m_now)) {
                freeBlock(engine, freeable);
            }
        }
    }

    // Checks the memory that running prompts rely on, even where a dispatcher does not know of it, and the reservation tables.
    void checkReservedMemory()
    {
        std::array<std::uint64_t, engineCount> used{};
        for (const Prompt &prompt : m_prompts) {
            for (const PromptSegment &segment : prompt.running ? prompt.plan.segments : std::vector<PromptSegment>()) {
                used.at(indexOf(segment.upstream)) += segment.memoryTokens();
            }
        }
        for (std::size_t i = 0; i < engineCount; ++i) {
            if (used.at(i) > engineMemoryTokens || m_engines[i].table->reservedTokens() > engineMemoryTokens) {
                m_violations.emplace_back("more memory reserved than the engine has: engine " + std::to_string(i));
            }
        }
    }

    RandomEngine m_random;
    bool m_faults;
    bool m_callersRetry = true;
    ReservationLimits m_limits;
    TimePoint m_now{seconds(100)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Engine> m_engines;
    std::vector<Prompt> m_prompts;
    std::vector<std::string> m_violations;
    int m_ticks = 0;
};

}

TEST_GROUP(LongPromptsFaultsTest){};

// Guards against deadlock and starvation: prompts that each need most of the engines at once must all be served eventually.
TEST(LongPromptsFaultsTest, CompetingPromptsAreAllServed)
{
    Testing::checkProperty("all prompts are served", [](std::uint64_t seed) {
        Simulation simulation(seed, false);
        simulation.run(seconds(400));
        RC_ASSERT(simulation.violations().empty());
        RC_ASSERT(simulation.served() == promptCount);
        RC_ASSERT(simulation.nothingAllocated());
    });
}

// Guards against memory, blocks and pins that stay allocated after hosts or engines have crashed, and against memory reserved twice.
TEST(LongPromptsFaultsTest, NothingStaysAllocatedAfterFaults)
{
    int crashes = 0;
    int blocks = 0;
    Testing::checkProperty("nothing stays allocated", [&](std::uint64_t seed) {
        const ReservationLimits limits;
        Simulation simulation(seed, true);
        simulation.run(seconds(60));
        simulation.stopFaults();
        // The longest deadline of a running attempt has passed after this.
        simulation.run(seconds(61));
        RC_ASSERT(simulation.allEnded());
        // Expiry and grace period, plus 3 s for two intervals of listing the blocks and for message delays.
        simulation.run(limits.validity + limits.orphanGrace + seconds(3));
        crashes += simulation.crashes;
        blocks += simulation.blockCount;
        RC_ASSERT(simulation.nothingAllocated());
        RC_ASSERT(simulation.violations().empty());
    });
    CHECK(crashes > 100);
    CHECK(blocks > 100);
}
