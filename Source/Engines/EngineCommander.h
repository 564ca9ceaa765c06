#pragma once

#include "Engines/EngineState.h"
#include "Membership/StoreLease.h"

#include <deque>

namespace Mangofall {

/// Whether this host is the engine's dispatcher and may dispatch; false while it renews its view after a pause.
struct CommanderOwnership {
    bool owner = false;
};

struct CommandRequested {
    EngineCommand command;
};

/// The engine has carried out the command.
struct CommandDone {
    std::uint64_t id = 0;
};

/// The engine rejected the command because it has seen a higher fencing token.
struct CommandFenced {
    std::uint64_t id = 0;
};

/// The engine refused the command for another reason; it had no effect.
struct CommandRefused {
    std::uint64_t id = 0;
};

/// No answer arrived: the command may have had its effect.
struct CommandLost {
    std::uint64_t id = 0;
};

struct EngineStateRead {
    EngineState state;
};

struct EngineStateLost {
};

struct CommanderTick {
};

using CommanderEvent = std::variant<CommanderOwnership,
                                    CommandRequested,
                                    CommandDone,
                                    CommandFenced,
                                    CommandRefused,
                                    CommandLost,
                                    EngineStateRead,
                                    EngineStateLost,
                                    Membership::LeaseEvent,
                                    CommanderTick>;

/// Send the command unless it is later than \c notAfter when the first byte would be written.
struct SendEngineCommand {
    EngineCommand command;
    std::uint64_t fencingToken = 0;
    TimePoint notAfter;
};

struct ReadEngineState {
};

enum class CommandOutcome {
    Done,
    Refused,
    NotOwner, ///< Another host is or becomes the engine's dispatcher; it decides from the engine's state.
};

struct CommandSettled {
    std::uint64_t id = 0;
    CommandOutcome outcome = CommandOutcome::Done;
};

using CommanderAction = std::variant<Membership::LeaseAction, SendEngineCommand, ReadEngineState, CommandSettled>;

/**
 * \class EngineCommanderSettings
 * \brief Time limits of the commands to one engine.
 */
struct EngineCommanderSettings {
    bool checksFencing = false; ///< From the upstream's specification.
    std::chrono::milliseconds sendLimit{1000}; ///< From the decision to send a command until its first byte; later it is not sent.
    std::chrono::milliseconds commandLifetime{6000}; ///< From the decision until the command has arrived or never will; the connection is closed by then.
    std::chrono::milliseconds readRetry{1000};
    Membership::LeaseSettings lease; ///< For an engine that checks the fencing token the successor's wait is not used.
};

/// Store key of the lease on the commands to \p engine.
std::string engineCommandKey(const UpstreamId &engine);

/**
 * \class EngineCommander
 * \brief Sends commands to one engine, from its dispatcher only.
 *
 * The fencing token is the term of a lease in the store that is held only while there are commands. An engine that ignores the token
 * gets no command before the former owner's lease has run out, with all that it sent: a command is sent only if it arrives within the
 * lease. The state is read back after each change of owner and after each lost answer.
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
        ReadDue, ///< The state must be read, not before m_notBefore.
        Reading,
        Ready,
        Sent,
    };

    void applyLease(const Membership::LeaseEvent &event, TimePoint now, Actions &actions);
    void settleFirst(CommandOutcome outcome, Actions &actions);
    void abandon(Actions &actions);
    void next(TimePoint now, Actions &actions);
    bool isSent(std::uint64_t id) const;

    EngineCommanderSettings m_settings;
    Membership::StoreLease m_lease;
    Phase m_phase = Phase::NoLease;
    bool m_owner = false;
    bool m_wanted = false;
    std::uint64_t m_token = 0;
    TimePoint m_until;
    TimePoint m_lastArrival; ///< When the last command sent has arrived or never will.
    TimePoint m_notBefore;
    std::deque<EngineCommand> m_queue; ///< The first one is in progress in phase Sent.
};

}
