#include "Engines/EngineCommander.h"

#include <algorithm>

namespace Mangofall {

namespace {

Membership::LeaseSettings leaseSettings(const EngineCommanderSettings &settings)
{
    Membership::LeaseSettings lease = settings.lease;
    // An engine that checks the fencing token rejects the former owner's commands itself.
    lease.successorWait = settings.checksFencing ? std::chrono::milliseconds(0) : std::max(lease.successorWait, lease.validity);
    return lease;
}

}

std::string engineCommandKey(const UpstreamId &engine)
{
    return "mangofall/engines/" + engine.value();
}

EngineCommander::EngineCommander(HostId self, std::uint64_t incarnation, const UpstreamId &engine, EngineCommanderSettings settings)
    : m_settings(settings)
    , m_lease(std::move(self), incarnation, engineCommandKey(engine), leaseSettings(settings))
{
}

EngineCommander::Actions EngineCommander::handle(const CommanderEvent &event, TimePoint now)
{
    Actions actions;
    if (const auto *ownership = std::get_if<CommanderOwnership>(&event)) {
        m_isOwner = ownership->isOwner;
        if (!m_isOwner) {
            endAllAsNotOwner(actions);
        }
    } else if (const auto *requested = std::get_if<CommandRequested>(&event)) {
        m_queue.push_back(requested->command);
    } else if (const auto *done = std::get_if<CommandDone>(&event)) {
        if (isInProgress(done->id)) {
            m_latestArrival = now;
            m_phase = Phase::Ready;
            endFirstCommand(CommandOutcome::Done, actions);
        }
    } else if (const auto *refused = std::get_if<CommandRefused>(&event)) {
        if (isInProgress(refused->id)) {
            m_latestArrival = now;
            m_phase = Phase::Ready;
            endFirstCommand(CommandOutcome::Refused, actions);
        }
    } else if (const auto *fenced = std::get_if<CommandFenced>(&event)) {
        if (isInProgress(fenced->id)) {
            m_phase = Phase::NoLease;
            m_isOwner = false;
            endAllAsNotOwner(actions);
        }
    } else if (const auto *lost = std::get_if<CommandAnswerLost>(&event)) {
        if (isInProgress(lost->id)) {
            // The state is read only when the command can no longer arrive; otherwise it could take effect after the read.
            m_phase = Phase::ReadDue;
            m_nextReadAt = m_latestArrival;
        }
    } else if (const auto *read = std::get_if<EngineStateRead>(&event)) {
        if (m_phase == Phase::Reading) {
            m_phase = Phase::Ready;
            std::deque<EngineCommand> remaining;
            for (const EngineCommand &command : m_queue) {
                const bool isNextDone = remaining.empty() && satisfies(read->state, command);
                if (isNextDone) {
                    actions.emplace_back(CommandEnded{command.id, CommandOutcome::Done});
                } else {
                    remaining.push_back(command);
                }
            }
            m_queue = std::move(remaining);
        }
    } else if (std::holds_alternative<EngineStateReadFailed>(event)) {
        if (m_phase == Phase::Reading) {
            m_phase = Phase::ReadDue;
            m_nextReadAt = now + m_settings.readRetryDelay;
        }
    } else if (const auto *lease = std::get_if<Membership::LeaseEvent>(&event)) {
        applyLease(*lease, now, actions);
    } else {
        applyLease(Membership::LeaseTick(), now, actions);
    }
    advance(now, actions);
    return actions;
}

void EngineCommander::applyLease(const Membership::LeaseEvent &event, TimePoint now, Actions &actions)
{
    for (const Membership::LeaseAction &action : m_lease.handle(event, now)) {
        if (const auto *granted = std::get_if<Membership::LeaseGranted>(&action)) {
            const bool sameTerm = m_phase != Phase::NoLease && granted->term == m_fencingToken;
            m_fencingToken = granted->term;
            m_leaseUntil = granted->until;
            if (!sameTerm) {
                m_phase = Phase::ReadDue;
                m_nextReadAt = std::max(now, m_latestArrival);
            }
        } else if (std::holds_alternative<Membership::LeaseEnded>(action)) {
            m_phase = Phase::NoLease;
        } else {
            actions.emplace_back(action);
        }
    }
}

void EngineCommander::endFirstCommand(CommandOutcome outcome, Actions &actions)
{
    actions.emplace_back(CommandEnded{m_queue.front().id, outcome});
    m_queue.pop_front();
}

void EngineCommander::endAllAsNotOwner(Actions &actions)
{
    while (!m_queue.empty()) {
        endFirstCommand(CommandOutcome::NotOwner, actions);
    }
}

void EngineCommander::advance(TimePoint now, Actions &actions)
{
    const bool wanted = m_isOwner && !m_queue.empty();
    if (wanted != m_leaseWanted) {
        m_leaseWanted = wanted;
        applyLease(Membership::LeaseWanted{wanted, m_latestArrival}, now, actions);
    }
    if (!wanted || now >= m_leaseUntil) {
        return;
    }
    if (m_phase == Phase::ReadDue && now >= m_nextReadAt) {
        m_phase = Phase::Reading;
        actions.emplace_back(ReadEngineState{});
    } else if (m_phase == Phase::Ready && now + m_settings.commandLifetime <= m_leaseUntil) {
        m_phase = Phase::Sent;
        m_latestArrival = now + m_settings.commandLifetime;
        actions.emplace_back(SendEngineCommand{.command = m_queue.front(), .fencingToken = m_fencingToken, .notAfter = now + m_settings.sendTimeout});
    }
}

bool EngineCommander::isInProgress(std::uint64_t id) const
{
    return m_phase == Phase::Sent && !m_queue.empty() && m_queue.front().id == id;
}

}
