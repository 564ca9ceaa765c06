// CppUTest redefines new, which these headers use in other forms.
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

HostId nameOf(int host)
{
    return HostId("host" + std::to_string(host));
}

struct Arrival {
    std::uint64_t token = 0;
    int host = 0;
};

/// Two hosts, the lease's key and one engine; messages take a random time and are lost at random.
struct Scene {
    Scene(std::uint64_t seed, bool checksFencing)
        : random(seed)
        , checks(checksFencing)
    {
        for (int host = 0; host < 2; ++host) {
            commanders.emplace_back(nameOf(host), 1, UpstreamId("engine"), settingsFor(checksFencing));
        }
    }

    int below(std::uint32_t bound)
    {
        return static_cast<int>(random() % bound);
    }

    /// Mostly short, sometimes up to \p most: overtaking needs one slow message beside fast ones.
    milliseconds someTime(std::uint32_t most)
    {
        return milliseconds(below(below(3) == 0 ? most : most / 20));
    }

    void later(milliseconds delay, std::function<void()> event)
    {
        events.emplace(now + delay, std::move(event));
    }

    void tell(int host, const CommanderEvent &event)
    {
        const auto index = static_cast<std::size_t>(host);
        if (now < pausedUntil[index]) {
            events.emplace(pausedUntil[index], [this, host, event] {
                tell(host, event);
            });
            return;
        }
        for (const CommanderAction &action : commanders[index].handle(event, now)) {
            if (const auto *lease = std::get_if<LeaseAction>(&action)) {
                callStore(host, *lease);
            } else if (const auto *send = std::get_if<SendEngineCommand>(&action)) {
                later(someTime(1200), [this, host, send = *send] {
                    write(host, send);
                });
            } else if (std::holds_alternative<ReadEngineState>(action)) {
                later(someTime(500), [this, host] {
                    if (below(4) == 0) {
                        tell(host, EngineStateLost());
                    } else {
                        tell(host, EngineStateRead{state});
                    }
                });
            } else {
                settled += std::get<CommandSettled>(action).outcome == CommandOutcome::Done ? 1 : 0;
            }
        }
    }

    void callStore(int host, const LeaseAction &action)
    {
        // While the store does not answer a host, its calls neither arrive nor return.
        if (now < storeDownUntil[static_cast<std::size_t>(host)]) {
            later(seconds(1), [this, host] {
                tell(host, LeaseEvent(LeaseCallLost()));
            });
            return;
        }
        const bool lost = below(6) == 0;
        later(someTime(900), [this, host, action, lost] {
            LeaseEvent answer = LeaseRead{version, value};
            if (const auto *write = std::get_if<WriteLease>(&action)) {
                if (write->expectedVersion == version) {
                    value = write->value;
                    answer = LeaseWritten{++version};
                } else {
                    answer = LeaseConflict();
                }
            }
            later(someTime(900), [this, host, answer, lost] {
                tell(host, lost ? LeaseEvent(LeaseCallLost()) : answer);
            });
        });
    }

    /// The adapter checks the time limit right before the first byte; the command then arrives within its lifetime or never.
    void write(int host, const SendEngineCommand &send)
    {
        const TimePoint paused = pausedUntil[static_cast<std::size_t>(host)];
        if (now < paused) {
            events.emplace(paused, [this, host, send] {
                write(host, send);
            });
            return;
        }
        if (now > send.notAfter || below(8) == 0) {
            later(seconds(1), [this, host, send] {
                tell(host, CommandLost{send.command.id});
            });
            return;
        }
        later(someTime(5000), [this, host, send] {
            const bool fenced = checks && !arrivals.empty() && send.fencingToken < arrivals.back().token;
            if (!fenced) {
                arrivals.push_back({send.fencingToken, host});
                state.role = send.command.subject;
            }
            if (below(5) == 0) {
                tell(host, CommandLost{send.command.id});
            } else if (fenced) {
                tell(host, CommandFenced{send.command.id});
            } else {
                tell(host, CommandDone{send.command.id});
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
            tell(0, CommanderTick());
            tell(1, CommanderTick());
            if (below(10) == 0) {
                ++commands;
                tell(below(2), CommandRequested{{commands, EngineCommandKind::SetRole, "role" + std::to_string(commands)}});
            }
        }
    }

    RandomEngine random;
    bool checks;
    TimePoint now{seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> events;
    std::vector<EngineCommander> commanders;
    std::array<TimePoint, 2> pausedUntil{};
    std::array<TimePoint, 2> storeDownUntil{};
    std::uint64_t version = 0;
    LeaseValue value;
    EngineState state;
    std::vector<Arrival> arrivals;
    std::uint64_t commands = 0;
    int settled = 0;
};

}

TEST_GROUP(EngineCommanderTest){};

// Guards against a command of a former owner that takes effect after one of the new owner, when hosts pause, both believe to be the
// dispatcher, commands and answers are slow or lost, and the engine does or does not check the fencing token.
TEST(EngineCommanderTest, FormerOwnersCommandsNeverFollow)
{
    int changes = 0;
    int settled = 0;
    Testing::checkProperty("the tokens of the commands that take effect never decrease", [&] {
        const bool checks = *rc::gen::arbitrary<bool>();
        Scene scene(*rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>()), checks);
        for (int step = 0; step < 600; ++step) {
            const int host = scene.below(2);
            scene.tell(host, CommanderOwnership{scene.below(4) != 0});
            if (scene.below(3) == 0) {
                scene.storeDownUntil[static_cast<std::size_t>(scene.below(2))] = scene.now + seconds(scene.below(60));
            }
            if (scene.below(3) == 0) {
                scene.pausedUntil[static_cast<std::size_t>(scene.below(2))] = scene.now + seconds(scene.below(60));
            }
            scene.run(seconds(scene.below(30)));
        }
        for (std::size_t index = 1; index < scene.arrivals.size(); ++index) {
            RC_ASSERT(scene.arrivals[index].token >= scene.arrivals[index - 1].token);
            changes += scene.arrivals[index].host != scene.arrivals[index - 1].host ? 1 : 0;
        }
        settled += scene.settled;
    });
    CHECK_TEXT(changes > 100 && settled > 300, "the runs must contain changes of the owner and finished commands");
}

// Guards against a repeated command whose first copy had its effect, and against a read while a copy may still arrive.
TEST(EngineCommanderTest, LostAnswerIsSettledByReadingBack)
{
    EngineCommander commander(nameOf(0), 1, UpstreamId("engine"), settingsFor(false));
    TimePoint now{seconds(100)};
    commander.handle(CommanderOwnership{true}, now);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, now);
    commander.handle(LeaseEvent(LeaseRead{}), now);
    CHECK(std::holds_alternative<ReadEngineState>(commander.handle(LeaseEvent(LeaseWritten{1}), now).at(0)));
    CHECK(std::holds_alternative<SendEngineCommand>(commander.handle(EngineStateRead{}, now).at(0)));
    CHECK(commander.handle(CommandLost{7}, now + seconds(1)).empty());
    CHECK(commander.handle(CommanderTick(), now + seconds(5)).empty());
    CHECK(std::holds_alternative<ReadEngineState>(commander.handle(CommanderTick(), now + seconds(6)).at(0)));
    const auto actions = commander.handle(EngineStateRead{{{"m"}, {}}}, now + seconds(6));
    LONGS_EQUAL(7, std::get<CommandSettled>(actions.at(0)).id);
    CHECK(std::get<CommandSettled>(actions.at(0)).outcome == CommandOutcome::Done);
}

// Guards against a command that may arrive after the lease has run out, when the successor may already command.
TEST(EngineCommanderTest, SendsNothingThatMayOutlastLease)
{
    EngineCommander commander(nameOf(0), 1, UpstreamId("engine"), settingsFor(false));
    const TimePoint start{seconds(100)};
    commander.handle(CommanderOwnership{true}, start);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, start);
    commander.handle(LeaseEvent(LeaseRead{}), start);
    commander.handle(LeaseEvent(LeaseWritten{1}), start); // until second 30
    const auto late = commander.handle(EngineStateRead{}, start + seconds(25));
    CHECK_TEXT(late.empty(), "the command may take 6 s");
}

// Guards against a successor that does not wait for a command which is on its way when the lease is given up.
TEST(EngineCommanderTest, ReleaseWaitsForCommandOnItsWay)
{
    EngineCommander commander(nameOf(0), 1, UpstreamId("engine"), settingsFor(false));
    const TimePoint start{seconds(100)};
    commander.handle(CommanderOwnership{true}, start);
    commander.handle(CommandRequested{{7, EngineCommandKind::LoadWeights, "m"}}, start);
    commander.handle(LeaseEvent(LeaseRead{}), start);
    commander.handle(LeaseEvent(LeaseWritten{1}), start);
    commander.handle(EngineStateRead{}, start);
    const auto actions = commander.handle(CommanderOwnership{false}, start + seconds(2));
    CHECK(std::get<CommandSettled>(actions.at(0)).outcome == CommandOutcome::NotOwner);
    CHECK(std::get<WriteLease>(std::get<LeaseAction>(actions.at(1))).value.wait == seconds(4));
}
