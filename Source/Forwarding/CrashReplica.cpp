#include "Forwarding/CrashReplica.h"

#include "Forwarding/SuspectObserver.h"
#include "Forwarding/WirePlacement.h"
#include "Telemetry/EventLog.h"

#include <algorithm>

namespace Mangofall::Forwarding {

using Placement::CrashStanding;
using Placement::GrantOutcome;

namespace {

// A crash changes each part of the prompts that it breaks off, which may be thousands.
constexpr std::size_t maxLoggedSuspects = 64;

std::optional<Wire::CrashUpdateT> toUpdate(const std::vector<Placement::SuspectState> &states)
{
    return states.empty() ? std::nullopt : std::optional(toWire(states));
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
    std::vector<Placement::SuspectState> refuting;
    for (const Placement::SuspectState &received : fromWire(update)) {
        const Placement::SuspectState known = m_record.merge(received, now);
        if (known.refutes(received)) {
            refuting.push_back(known);
        }
    }
    return toUpdate(refuting);
}

CrashReplica::Update CrashReplica::takeUpdate()
{
    std::vector<Placement::SuspectState> forOwners;
    std::vector<Placement::SuspectState> forAll;
    std::vector<Placement::SuspectState> local;
    for (const Placement::CrashRecord::Change &change : m_record.takeChanges()) {
        if (change.concernsAll) {
            forAll.push_back(change.state);
        } else if (change.local) {
            forOwners.push_back(change.state);
        }
        if (change.local) {
            local.push_back(change.state);
        }
        if (change.local && m_observer != nullptr) {
            m_observer->suspectChanged(change.state);
        }
    }
    log(std::move(local));
    return {toUpdate(forOwners), toUpdate(forAll)};
}

std::optional<Wire::CrashUpdateT> CrashReplica::snapshot(TimePoint now) const
{
    return toUpdate(m_record.states(now));
}

void CrashReplica::log(std::vector<Placement::SuspectState> states) const
{
    if (states.size() > maxLoggedSuspects) {
        std::stable_sort(states.begin(), states.end(), [](const Placement::SuspectState &left, const Placement::SuspectState &right) {
            return left.crashes.size() > right.crashes.size();
        });
        m_log.write("crash_suspects_not_logged", {{"count", std::to_string(states.size() - maxLoggedSuspects)}});
        states.resize(maxLoggedSuspects);
    }
    for (const Placement::SuspectState &state : states) {
        log(state);
    }
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
