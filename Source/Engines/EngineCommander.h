#pragma once

#include "Engines/EngineState.h"
#include "Membership/StoreLease.h"

#include <deque>

namespace Mangofall {

/// Event: tells whether this host is the engine's dispatcher and may dispatch; false while it refreshes its membership view after a pause.
struct CommanderOwnership {
    bool isOwner = false;
};

/// Event: this host wants a command to be carried out.
struct CommandRequested {
    EngineCommand command;
};

/// Event: the engine has carried out the command.
struct CommandDone {
    std::uint64_t id = 0;
};

/// Event: the engine rejected the command because it has seen a higher fencing token.
struct CommandFenced {
    std::uint64_t id = 0;
};

/// Event: the engine refused the command for another reason; the command had no effect.
struct CommandRefused {
    std::uint64_t id = 0;
};

/// Event: no answer to the command arrived, so it may or may not have taken effect.
struct CommandAnswerLost {
    std::uint64_t id = 0;
};

/// Event: ReadEngineState succeeded.
struct EngineStateRead {
    EngineState state;
};

/// Event: ReadEngineState failed or got no answer.
struct EngineStateReadFailed {
};

/// Event: periodic tick that checks the times of the lease and of the next read.
struct CommanderTick {
};

using CommanderEvent = std::variant<CommanderOwnership,
                                    CommandRequested,
                                    CommandDone,
                                    CommandFenced,
                                    CommandRefused,
                                    CommandAnswerLost,
                                    EngineStateRead,
                                    EngineStateReadFailed,
                                    Membership::LeaseEvent,
                                    CommanderTick>;

/// Action: sends the command, unless \c notAfter has passed when its first byte would be written.
struct SendEngineCommand {
    EngineCommand command;
    std::uint64_t fencingToken = 0;
    TimePoint notAfter;
};

/// Action: reads the engine's state; answered by EngineStateRead or EngineStateReadFailed.
struct ReadEngineState {
};

enum class CommandOutcome {
    Done,
    Refused,
    NotOwner, ///< Another host is or becomes the engine's dispatcher; it reads the engine's state and decides what to do.
};

/// Action: reports the outcome of a requested command.
struct CommandEnded {
    std::uint64_t id = 0;
    CommandOutcome outcome = CommandOutcome::Done;
};

using CommanderAction = std::variant<Membership::LeaseAction, SendEngineCommand, ReadEngineState, CommandEnded>;

/**
 * \class EngineCommanderSettings
 * \brief Settings of the commands to one engine.
 */
struct EngineCommanderSettings {
    bool checksFencing = false; ///< Whether the engine checks the fencing token, from the upstream's specification.
    std::chrono::milliseconds sendTimeout{1000}; ///< From the decision to send a command until its first byte; after that it is not sent.
    std::chrono::milliseconds commandLifetime{6000}; ///< From that decision until the command has arrived or can no longer arrive: its connection is closed.
    std::chrono::milliseconds readRetryDelay{1000}; ///< Before the state is read again after a failed read.
    Membership::LeaseSettings lease; ///< \c successorWait is not used for an engine that checks the fencing token.
};

/// Store key of the lease that allows a host to send commands to \p engine.
std::string engineCommandKey(const UpstreamId &engine);

/**
 * \class EngineCommander
 * \brief Sends commands to one engine while this host is its dispatcher.
 *
 * The fencing token is the term of a lease in the store, which is held only while there are commands. An engine that ignores the token
 * gets no command before the former owner's lease has expired. By then no command of the former owner can still arrive, because a
 * command is sent only if its lifetime ends within the lease. The engine's state is read back after each change of owner and after each
 * lost answer.
 */
class EngineCommander
{
public:
    using Actions = std::vector<CommanderAction>;

    EngineCommander(HostId self, std::uint64_t incarnation, const UpstreamId &engine, EngineCommanderSettings settings);

    Actions handle(const CommanderEvent &event, TimePoint now);

private:
    enum class Phase {
        NoLease,
        ReadDue, ///< The engine's state must be read, at m_nextReadAt or later.
        Reading,
        Ready,
        Sent,
    };

    void applyLease(const Membership::LeaseEvent &event, TimePoint now, Actions &actions);
    void endFirstCommand(CommandOutcome outcome, Actions &actions);
    void endAllAsNotOwner(Actions &actions);
    void advance(TimePoint now, Actions &actions);
    bool isInProgress(std::uint64_t id) const;

    EngineCommanderSettings m_settings;
    Membership::StoreLease m_lease;
    Phase m_phase = Phase::NoLease;
    bool m_isOwner = false;
    bool m_leaseWanted = false;
    std::uint64_t m_fencingToken = 0;
    TimePoint m_leaseUntil;
    TimePoint m_latestArrival; ///< Time by which the last command sent has arrived or no longer can.
    TimePoint m_nextReadAt;
    std::deque<EngineCommand> m_queue; ///< In phase Sent, the first command is in progress.
};

}
