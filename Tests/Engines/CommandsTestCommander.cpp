// These headers come before Property.h: CppUTest defines new as a macro, and they use other forms of new.
#include "Base/RandomEngine.h"

#include <variant>

#include "Property.h"

#include "Engines/EngineCommander.h"

#include <array>
#include <functional>
#include <map>

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

EngineCommanderSettings settingsFor(bool checksFencing)
{
    EngineCommanderSettings settings;
    settings.checksFencing = checksFencing;
    settings.lease.poll = milliseconds(300);
    return settings;
}

HostId hostIdOf(int host)
{
    return HostId("host" + std::to_string(host));
}

/// A command that took effect at the engine.
struct Arrival {
    std::uint64_t token = 0;
    int host = 0;
};

/// Simulates two hosts, the lease's key in the store and one engine; messages are delayed and lost at random.
struct Simulation {
    Simulation(std::uint64_t seed, bool checksFencing)
        : random(seed)
        , engineChecksFencing(checksFencing)
    {
        for (int host = 0; host < 2; ++host) {
            commanders.emplace_back(hostIdOf(host), 1, UpstreamId("engine"), settingsFor(checksFencing));
        }
    }

    int randomBelow(std::uint32_t bound)
    {
        return static_cast<int>(random() % bound);
    }

    /// A mostly short delay, sometimes up to \p longest milliseconds: a message overtakes another one only if that one is much slower.
    milliseconds randomDelay(std::uint32_t longest)
    {
        return milliseconds(randomBelow(randomBelow(3) == 0 ? longest : longest / 20));
    }

    void schedule(milliseconds delay, std::function<void()> event)
    {
        events.emplace(now + delay, std::move(event));
    }

    void handleEvent(int host, const CommanderEvent &event)
    {
        const auto index = static_cast<std::size_t>(host);
        if (now < pausedUntil[index]) {
            events.emplace(pausedUntil[index], [this, host, event] {
                handleEvent(host, event);
            });
            return;
        }
        for (const CommanderAction &action : commanders[index].handle(event, now)) {
            if (const auto *lease = std::get_if<LeaseAction>(&action)) {
                callStore(host, *lease);
            } else if (const auto *send = std::get_if<SendEngineCommand>(&action)) {
                schedule(randomDelay(1200), [this, host, send = *send] {
                    sendCommand(host, send);
                });
            } else if (std::holds_alternative<ReadEngineState>(action)) {
                schedule(randomDelay(500), [this, host] {
                    if (randomBelow(4) == 0) {
                        handleEvent(host, EngineStateReadFailed());
                    } else {
                        handleEvent(host, EngineStateRead{state});
                    }
                });
            } else {
                doneCommands += std::get<CommandEnded>(action).outcome == CommandOutcome::Done ? 1 : 0;
            }
        }
    }

    void callStore(int host, const LeaseAction &action)
    {
        // While the store is unreachable for a host, the host's calls have no effect and get no answer.
        if (now < storeDownUntil[static_cast<std::size_t>(host)]) {
            schedule(seconds(1), [this, host] {
                handleEvent(host, LeaseEvent(LeaseCallLost()));
            });
            return;
        }
        const bool lost = randomBelow(6) == 0;
        schedule(randomDelay(900), [this, host, action, lost] {
            LeaseEvent answer = LeaseRead{version, value};
            if (const auto *write = std::get_if<WriteLease>(&action)) {
                if (write->expectedVersion == version) {
                    value = write->value;
                    answer = LeaseWritten{++version};
                } else {
                    answer = LeaseConflict();
                }
            }
            schedule(randomDelay(900), [this, host, answer, lost] {
                handleEvent(host, lost ? LeaseEvent(LeaseCallLost()) : answer);
            });
        });
    }

    /// Sends a command as the adapter does: notAfter is checked right before the first byte; the command then arrives within its lifetime or never.
    void sendCommand(int host, const SendEngineCommand &send)
    {
        const TimePoint paused = pausedUntil[static_cast<std::size_t>(host)];
        if (now < paused) {
            events.emplace(paused, [this, host, send] {
                sendCommand(host, send);
            });
            return;
        }
        if (now > send.notAfter || randomBelow(8) == 0) {
            schedule(seconds(1), [this, host, send] {
                handleEvent(host, CommandAnswerLost{send.command.id});
            });
            return;
        }
        schedule(randomDelay(5000), [this, host, send] {
            const bool fenced = engineChecksFencing && !arrivals.empty() && send.fencingToken < arrivals.back().token;
            if (!fenced) {
                arrivals.push_back({send.fencingToken, host});
                state.role = send.command.subject;
            }
            if (randomBelow(5) == 0) {
                handleEvent(host, CommandAnswerLost{send.command.id});
            } else if (fenced) {
                handleEvent(host, CommandFenced{send.command.id});
            } else {
                handleEvent(host, CommandDone{send.command.id});
            }
        });
    }

    void run(seconds time)
    {
        for (const TimePoint end = now + time; now < end; now += milliseconds(100)) {
            while (!events.empty() && events.begin()->first <= now) {
                const auto event = events.extract(events.begin());
                event.mapped()();
            }
            handleEvent(0, CommanderTick());
            handleEvent(1, CommanderTick());
            if (randomBelow(10) == 0) {
                ++commandCount;
                handleEvent(randomBelow(2), CommandRequested{{commandCount, EngineCommandKind::SetRole, "role" + std::to_string(commandCount)}});
            }
        }
    }

    RandomEngine random;
    bool engineChecksFencing;
    TimePoint now{seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> events;
    std::vector<EngineCommander> commanders;
    std::array<TimePoint, 2> pausedUntil{};
    std::array<TimePoint, 2> storeDownUntil{};
    std::uint64_t version = 0;
    LeaseValue value;
    EngineState state;
    std::vector<Arrival> arrivals;
    std::uint64_t commandCount = 0;
    int doneCommands = 0;
};

}

TEST_GROUP(EngineCommanderTest){};

// Guards against a command of a former owner that takes effect after one of the new owner: hosts pause, both may act as dispatcher at
// the same time, commands and answers are delayed or lost, and the engine may or may not check the fencing token.
TEST(EngineCommanderTest, FormerOwnersCommandsNeverFollow)
{
    int ownerChanges = 0;
    int doneCommands = 0;
    Testing::checkProperty("the tokens of the commands that take effect never decrease", [&] {
        const bool checksFencing = *rc::gen::arbitrary<bool>();
        Simulation simulation(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()), checksFencing);
        for (int step = 0; step < 600; ++step) {
            const int host = simulation.randomBelow(2);
            simulation.handleEvent(host, CommanderOwnership{simulation.randomBelow(4) != 0});
            if (simulation.randomBelow(3) == 0) {
                simulation.storeDownUntil[static_cast<std::size_t>(simulation.randomBelow(2))] = simulation.now + seconds(simulation.randomBelow(60));
            }
            if (simulation.randomBelow(3) == 0) {
                simulation.pausedUntil[static_cast<std::size_t>(simulation.randomBelow(2))] = simulation.now + seconds(simulation.randomBelow(60));
            }
            simulation.run(seconds(simulation.randomBelow(30)));
        }
        for (std::size_t index = 1; index < simulation.arrivals.size(); ++index) {
            RC_ASSERT(simulation.arrivals[index].token >= simulation.arrivals[index - 1].token);
            ownerChanges += simulation.arrivals[index].host != simulation.arrivals[index - 1].host ? 1 : 0;
        }
        doneCommands += simulation.doneCommands;
    });
    CHECK_TEXT(ownerChanges > 100 && doneCommands > 300, "the runs must contain changes of the owner and completed commands");
}

// Guards against sending a command again that has already taken effect, and against reading the state while the command may still arrive.
TEST(EngineCommanderTest, LostAnswerIsResolvedByReadingBack)
{
    EngineCommander commander(hostIdOf(0), 1, UpstreamId("engine"), settingsFor(false));
    TimePoint now{seconds(100)};
    commander.handle(CommanderOwnership{true}, now);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, now);
    commander.handle(LeaseEvent(LeaseRead{}), now);
    CHECK(std::holds_alternative<ReadEngineState>(commander.handle(LeaseEvent(LeaseWritten{1}), now).at(0)));
    CHECK(std::holds_alternative<SendEngineCommand>(commander.handle(EngineStateRead{}, now).at(0)));
    CHECK(commander.handle(CommandAnswerLost{7}, now + seconds(1)).empty());
    CHECK(commander.handle(CommanderTick(), now + seconds(5)).empty());
    CHECK(std::holds_alternative<ReadEngineState>(commander.handle(CommanderTick(), now + seconds(6)).at(0)));
    const auto actions = commander.handle(EngineStateRead{{{"m"}, {}}}, now + seconds(6));
    LONGS_EQUAL(7, std::get<CommandEnded>(actions.at(0)).id);
    CHECK(std::get<CommandEnded>(actions.at(0)).outcome == CommandOutcome::Done);
}

// Guards against a command that may arrive after the lease has expired, when the successor may already send commands.
TEST(EngineCommanderTest, SendsNothingThatMayOutlastLease)
{
    EngineCommander commander(hostIdOf(0), 1, UpstreamId("engine"), settingsFor(false));
    const TimePoint start{seconds(100)};
    commander.handle(CommanderOwnership{true}, start);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, start);
    commander.handle(LeaseEvent(LeaseRead{}), start);
    commander.handle(LeaseEvent(LeaseWritten{1}), start); // The lease is valid for 30 s.
    const auto late = commander.handle(EngineStateRead{}, start + seconds(25));
    CHECK_TEXT(late.empty(), "the command may take 6 s to arrive");
}

// Guards against a successor that does not wait for a command that is in transit when the lease is released.
TEST(EngineCommanderTest, ReleaseWaitsForCommandInTransit)
{
    EngineCommander commander(hostIdOf(0), 1, UpstreamId("engine"), settingsFor(false));
    const TimePoint start{seconds(100)};
    commander.handle(CommanderOwnership{true}, start);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, start);
    commander.handle(LeaseEvent(LeaseRead{}), start);
    commander.handle(LeaseEvent(LeaseWritten{1}), start);
    commander.handle(EngineStateRead{}, start);
    const auto actions = commander.handle(CommanderOwnership{false}, start + seconds(2));
    CHECK(std::get<CommandEnded>(actions.at(0)).outcome == CommandOutcome::NotOwner);
    CHECK(std::get<WriteLease>(std::get<LeaseAction>(actions.at(1))).value.wait == seconds(4));
}
