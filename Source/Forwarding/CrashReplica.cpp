#include "Forwarding/CrashReplica.h"

#include "Forwarding/SuspectObserver.h"
#include "Forwarding/WirePlacement.h"
#include "Telemetry/EventLog.h"

namespace Mangofall::Forwarding {

using Placement::CrashStanding;
using Placement::GrantOutcome;

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
    m_record.recordSuccess(request.sharedParts, now);
}

// A part can crash an upstream only when the answer begins; the request as a whole can at any time.
void CrashReplica::attemptEnded(const Attempt &attempt, GrantOutcome outcome, TimePoint now)
{
    Placement::CrashRecord::Suspects suspects = suspectsOf(attempt.request);
    if (attempt.answerBegan) {
        suspects = {attempt.request.fingerprint};
    }
    if (outcome == GrantOutcome::Broken) {
        m_record.recordCrash(suspects, attempt.assignment.upstream, attempt.assignment.upstreamStart, attempt.sentAt, now);
    } else if (outcome == GrantOutcome::Completed) {
        m_record.recordSuccess(suspects, now);
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

void CrashReplica::apply(const Wire::CrashUpdateT &update, TimePoint now)
{
    for (const std::unique_ptr<Wire::CrashSuspectT> &suspect : update.suspects) {
        if (suspect) {
            m_record.merge(fromWire(*suspect), now);
        }
    }
}

std::optional<Wire::CrashUpdateT> CrashReplica::takeUpdate()
{
    const std::vector<Placement::CrashRecord::Change> changes = m_record.takeChanges();
    if (changes.empty()) {
        return std::nullopt;
    }
    Wire::CrashUpdateT update;
    for (const Placement::CrashRecord::Change &change : changes) {
        update.suspects.push_back(std::make_unique<Wire::CrashSuspectT>(toWire(change.state)));
        if (!change.local) {
            continue;
        }
        m_log.write("crash_suspect",
                    {{"suspect", Placement::suspectName(change.state.suspect)},
                     {"crashes", std::to_string(change.state.crashes.size())},
                     {"trials", std::to_string(change.state.trials)},
                     {"clearances", std::to_string(change.state.clearances)},
                     {"held", change.held ? "true" : "false"}});
        if (m_observer != nullptr) {
            m_observer->suspectChanged(change.state);
        }
    }
    return update;
}

std::optional<Wire::CrashUpdateT> CrashReplica::snapshot() const
{
    const std::vector<Placement::SuspectState> states = m_record.states();
    if (states.empty()) {
        return std::nullopt;
    }
    Wire::CrashUpdateT update;
    update.suspects.reserve(states.size());
    for (const Placement::SuspectState &state : states) {
        update.suspects.push_back(std::make_unique<Wire::CrashSuspectT>(toWire(state)));
    }
    return update;
}

}
