#include "Engines/EngineCommander.h"

#include <algorithm>

namespace Mangofall {

namespace {

Membership::LeaseSettings leaseSettings(const EngineCommanderSettings &settings)
{
    Membership::LeaseSettings lease = settings.lease;
    // The engine itself keeps out the former owner's commands if it checks the token.
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
        m_owner = ownership->owner;
        if (!m_owner) {
            abandon(actions);
        }
    } else if (const auto *requested = std::get_if<CommandRequested>(&event)) {
        m_queue.push_back(requested->command);
    } else if (const auto *done = std::get_if<CommandDone>(&event)) {
        if (isSent(done->id)) {
            m_lastArrival = now;
            m_phase = Phase::Ready;
            settleFirst(CommandOutcome::Done, actions);
        }
    } else if (const auto *refused = std::get_if<CommandRefused>(&event)) {
        if (isSent(refused->id)) {
            m_lastArrival = now;
            m_phase = Phase::Ready;
            settleFirst(CommandOutcome::Refused, actions);
        }
    } else if (const auto *fenced = std::get_if<CommandFenced>(&event)) {
        if (isSent(fenced->id)) {
            m_phase = Phase::NoLease;
            m_owner = false;
            abandon(actions);
        }
    } else if (const auto *lost = std::get_if<CommandLost>(&event)) {
        if (isSent(lost->id)) {
            // Read only when the command can no longer arrive, or its effect could follow the read.
            m_phase = Phase::ReadDue;
            m_notBefore = m_lastArrival;
        }
    } else if (const auto *read = std::get_if<EngineStateRead>(&event)) {
        if (m_phase == Phase::Reading) {
            m_phase = Phase::Ready;
            std::deque<EngineCommand> open;
            for (const EngineCommand &command : m_queue) {
                const bool leads = open.empty() && satisfies(read->state, command);
                if (leads) {
                    actions.emplace_back(CommandSettled{command.id, CommandOutcome::Done});
                } else {
                    open.push_back(command);
                }
            }
            m_queue = std::move(open);
        }
    } else if (std::holds_alternative<EngineStateLost>(event)) {
        if (m_phase == Phase::Reading) {
            m_phase = Phase::ReadDue;
            m_notBefore = now + m_settings.readRetry;
        }
    } else if (const auto *lease = std::get_if<Membership::LeaseEvent>(&event)) {
        applyLease(*lease, now, actions);
    } else {
        applyLease(Membership::LeaseTick(), now, actions);
    }
    next(now, actions);
    return actions;
}

void EngineCommander::applyLease(const Membership::LeaseEvent &event, TimePoint now, Actions &actions)
{
    for (const Membership::LeaseAction &action : m_lease.handle(event, now)) {
        if (const auto *granted = std::get_if<Membership::LeaseGranted>(&action)) {
            const bool sameTerm = m_phase != Phase::NoLease && granted->term == m_token;
            m_token = granted->term;
            m_until = granted->until;
            if (!sameTerm) {
                m_phase = Phase::ReadDue;
                m_notBefore = std::max(now, m_lastArrival);
            }
        } else if (std::holds_alternative<Membership::LeaseEnded>(action)) {
            m_phase = Phase::NoLease;
        } else {
            actions.emplace_back(action);
        }
    }
}

void EngineCommander::settleFirst(CommandOutcome outcome, Actions &actions)
{
    actions.emplace_back(CommandSettled{m_queue.front().id, outcome});
    m_queue.pop_front();
}

void EngineCommander::abandon(Actions &actions)
{
    while (!m_queue.empty()) {
        settleFirst(CommandOutcome::NotOwner, actions);
    }
}

void EngineCommander::next(TimePoint now, Actions &actions)
{
    const bool wanted = m_owner && !m_queue.empty();
    if (wanted != m_wanted) {
        m_wanted = wanted;
        applyLease(Membership::LeaseWanted{wanted, m_lastArrival}, now, actions);
    }
    if (!wanted || now >= m_until) {
        return;
    }
    if (m_phase == Phase::ReadDue && now >= m_notBefore) {
        m_phase = Phase::Reading;
        actions.emplace_back(ReadEngineState{});
    } else if (m_phase == Phase::Ready && now + m_settings.commandLifetime <= m_until) {
        m_phase = Phase::Sent;
        m_lastArrival = now + m_settings.commandLifetime;
        actions.emplace_back(SendEngineCommand{.command = m_queue.front(), .fencingToken = m_token, .notAfter = now + m_settings.sendLimit});
    }
}

bool EngineCommander::isSent(std::uint64_t id) const
{
    return m_phase == Phase::Sent && !m_queue.empty() && m_queue.front().id == id;
}

}
