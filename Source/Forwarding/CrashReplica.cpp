#include "Forwarding/CrashReplica.h"

#include "Forwarding/SuspectObserver.h"
#include "Forwarding/WirePlacement.h"
#include "Telemetry/EventLog.h"

namespace Mangofall::Forwarding {

using Placement::CrashStanding;
using Placement::GrantOutcome;

namespace {

void append(std::optional<Wire::CrashUpdateT> &update, const Placement::SuspectState &state)
{
    if (!update) {
        update.emplace();
    }
    update->suspects.push_back(std::make_unique<Wire::CrashSuspectT>(toWire(state)));
}

}

CrashReplica::CrashReplica(EventLog &log)
    : m_log(log)
{
}

Placement::CrashRecord &CrashReplica::record()
{
    return m_record;
}

const Placement::CrashRecord &CrashReplica::record() const
{
    return m_record;
}

void CrashReplica::answerBegan(const Placement::PlacementRequest &request, TimePoint now)
{
    m_record.recordBegin(suspectsOf(request), now);
}

void CrashReplica::attemptEnded(const Attempt &attempt, GrantOutcome outcome, TimePoint now)
{
    const Placement::PlacementRequest &request = attempt.request;
    const Placement::Assignment &assignment = attempt.assignment;
    if (outcome == GrantOutcome::Broken) {
        m_record.recordCrashOfParts(request.sharedParts, assignment.upstream, assignment.upstreamStart, attempt.sentAt, now);
        if (request.fingerprint != 0) {
            m_record.recordCrash({request.fingerprint}, assignment.upstream, assignment.upstreamStart, attempt.sentAt, now);
        }
    } else if (outcome == GrantOutcome::Completed) {
        m_record.recordSuccess(request.sharedParts, now);
        m_record.recordRequestSuccess(request.fingerprint, now);
    }
}

std::optional<Placement::Refusal>
CrashReplica::refusal(const Placement::PlacementRequest &request, const Placement::Assignment *assignment, TimePoint now) const
{
    if (m_record.heldCount() == 0 || (assignment != nullptr && assignment->crashTrial)) {
        return std::nullopt;
    }
    const Placement::CrashVerdict verdict = m_record.check(suspectsOf(request), now);
    const bool mayPass = verdict.standing == CrashStanding::Free || (verdict.standing == CrashStanding::TrialDue && assignment == nullptr);
    if (mayPass) {
        return std::nullopt;
    }
    return Placement::Refusal{request.id, ErrorKind::Quarantined, Placement::quarantineRetryAfter(verdict.wait)};
}

void CrashReplica::setObserver(SuspectObserver *observer)
{
    m_observer = observer;
}

std::optional<Wire::CrashUpdateT> CrashReplica::apply(const Wire::CrashUpdateT &update, TimePoint now)
{
    std::optional<Wire::CrashUpdateT> reply;
    for (const std::unique_ptr<Wire::CrashSuspectT> &suspect : update.suspects) {
        if (!suspect) {
            continue;
        }
        const Placement::SuspectState received = fromWire(*suspect);
        const Placement::SuspectState known = m_record.merge(received, now);
        if (known.refutes(received)) {
            append(reply, known);
        }
    }
    return reply;
}

CrashReplica::Update CrashReplica::takeUpdate()
{
    Update update;
    for (const Placement::CrashRecord::Change &change : m_record.takeChanges()) {
        if (change.concernsAll) {
            append(update.forAll, change.state);
        } else if (change.local) {
            append(update.forOwners, change.state);
        }
        if (change.local) {
            log(change.state);
        }
        if (change.local && m_observer != nullptr) {
            m_observer->suspectChanged(change.state);
        }
    }
    return update;
}

std::optional<Wire::CrashUpdateT> CrashReplica::snapshot(TimePoint now) const
{
    const std::vector<Placement::SuspectState> states = m_record.states(now);
    std::optional<Wire::CrashUpdateT> update;
    for (const Placement::SuspectState &state : states) {
        append(update, state);
    }
    return update;
}

void CrashReplica::log(const Placement::SuspectState &state) const
{
    m_log.write("crash_suspect",
                {{"suspect", Placement::suspectName(state.suspect)},
                 {"crashes", std::to_string(state.crashes.size())},
                 {"cleared", std::to_string(state.cleared.size())},
                 {"trials", std::to_string(state.trials - state.clearedTrials)}});
}

}
