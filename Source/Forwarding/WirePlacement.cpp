#include "Forwarding/WirePlacement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Mangofall::Forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::uint32_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(count, 0));
}

ErrorKind errorKindFromWire(std::uint16_t value)
{
    return value < errorKindCount ? static_cast<ErrorKind>(value) : ErrorKind::Internal;
}

}

Wire::PlacementCallT toWire(const Placement::PlacementRequest &placementRequest, TimePoint now)
{
    Wire::PlacementCallT call;
    call.number = placementRequest.id.number;
    call.service = placementRequest.service.value();
    call.data_centre = placementRequest.dataCentre.value();
    call.prompt_tokens = placementRequest.promptTokens;
    call.output_tokens = placementRequest.outputTokens;
    call.target_ms = toMilliseconds(placementRequest.target);
    call.pause_limit_ms = toMilliseconds(placementRequest.pauseLimit);
    call.age_ms = toMilliseconds(now - placementRequest.arrivedAt);
    call.left_ms = toMilliseconds(placementRequest.deadline - now);
    call.priority = placementRequest.priority;
    call.fingerprint = placementRequest.fingerprint;
    for (const UpstreamId &upstream : placementRequest.excluded) {
        call.excluded.push_back(upstream.value());
    }
    call.first_attempt = placementRequest.firstAttempt;
    call.borrows_retry = placementRequest.borrowsRetry;
    call.shared_parts = placementRequest.sharedParts;
    call.request_bytes = placementRequest.requestBytes;
    call.answer_bytes = placementRequest.answerBytes;
    return call;
}

Placement::PlacementRequest fromWire(const Wire::PlacementCallT &call, const HostId &host, TimePoint now)
{
    Placement::PlacementRequest placementRequest;
    placementRequest.id = {host, call.number};
    placementRequest.service = ServiceId(call.service);
    placementRequest.dataCentre = DataCentreId(call.data_centre);
    placementRequest.promptTokens = call.prompt_tokens;
    placementRequest.outputTokens = call.output_tokens;
    placementRequest.target = milliseconds(call.target_ms);
    placementRequest.pauseLimit = milliseconds(call.pause_limit_ms);
    placementRequest.arrivedAt = now - milliseconds(call.age_ms);
    placementRequest.deadline = now + milliseconds(call.left_ms);
    placementRequest.priority = call.priority;
    placementRequest.fingerprint = call.fingerprint;
    for (const std::string &upstream : call.excluded) {
        placementRequest.excluded.insert(UpstreamId(upstream));
    }
    placementRequest.firstAttempt = call.first_attempt;
    placementRequest.borrowsRetry = call.borrows_retry;
    placementRequest.sharedParts = call.shared_parts;
    placementRequest.requestBytes = call.request_bytes;
    placementRequest.answerBytes = call.answer_bytes;
    return placementRequest;
}

void setView(Wire::PlacementCallT &call, const StoreViewStatus &view)
{
    call.view_era = view.era;
    call.view_revision = view.revision;
    call.view_age_ms = toMilliseconds(view.age);
}

std::optional<StoreViewStatus> viewFromWire(const Wire::PlacementCallT &call)
{
    const StoreViewStatus view{call.view_era, call.view_revision, milliseconds(call.view_age_ms)};
    return view.known() ? std::optional<StoreViewStatus>(view) : std::nullopt;
}

Wire::PlacementAnswerT toWire(const Placement::Grant &grant)
{
    Wire::PlacementAnswerT answer;
    answer.number = grant.id.number;
    answer.result = Wire::PlacementResult::Granted;
    answer.upstream = grant.assignment.upstream.value();
    answer.address = grant.assignment.address.address;
    answer.port = grant.assignment.address.port;
    for (std::size_t index = 0; index < grant.assignment.helpers.size(); ++index) {
        answer.helpers.push_back(grant.assignment.helpers[index].value());
        answer.helper_addresses.push_back(grant.assignment.helperAddresses[index].address);
        answer.helper_ports.push_back(grant.assignment.helperAddresses[index].port);
    }
    answer.helper_memory = grant.assignment.helperMemory;
    answer.upstream_start = grant.assignment.upstreamStart;
    answer.crash_trial = grant.assignment.crashTrial;
    answer.first_piece_us = static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(grant.assignment.firstEventEstimate).count());
    return answer;
}

Wire::PlacementAnswerT toWire(const Placement::Refusal &refusal)
{
    Wire::PlacementAnswerT answer;
    answer.number = refusal.id.number;
    answer.result = Wire::PlacementResult::Refused;
    answer.error = static_cast<std::uint16_t>(refusal.kind);
    answer.retry_after_ms = toMilliseconds(refusal.retryAfter);
    return answer;
}

Wire::PlacementAnswerT queuedAnswer(const Placement::PlacementRequestId &id)
{
    Wire::PlacementAnswerT answer;
    answer.number = id.number;
    answer.result = Wire::PlacementResult::Queued;
    return answer;
}

Wire::PlacementAnswerT declinedAnswer(const Placement::PlacementRequestId &id, Duration time)
{
    Wire::PlacementAnswerT answer;
    answer.number = id.number;
    answer.result = Wire::PlacementResult::Declined;
    answer.retry_after_ms = toMilliseconds(time);
    return answer;
}

Wire::PlacementReportT beginReport(const Placement::PlacementRequestId &id)
{
    Wire::PlacementReportT report;
    report.number = id.number;
    return report;
}

Wire::PlacementReportT receivedReport(const Placement::PlacementRequestId &id)
{
    Wire::PlacementReportT report;
    report.number = id.number;
    report.received = true;
    return report;
}

Wire::PlacementReportT endReport(const Placement::PlacementRequestId &id, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faulty)
{
    Wire::PlacementReportT report;
    report.number = id.number;
    report.ended = true;
    report.outcome = static_cast<std::uint8_t>(outcome);
    report.faulty = faulty ? faulty->value() : std::string();
    return report;
}

Placement::Assignment assignmentFromWire(const Wire::PlacementAnswerT &answer)
{
    Placement::Assignment assignment;
    assignment.upstream = UpstreamId(answer.upstream);
    assignment.address = {answer.address, answer.port};
    const std::size_t helpers = std::min({answer.helpers.size(), answer.helper_addresses.size(), answer.helper_ports.size()});
    for (std::size_t index = 0; index < helpers; ++index) {
        assignment.helpers.emplace_back(answer.helpers[index]);
        assignment.helperAddresses.push_back({answer.helper_addresses[index], answer.helper_ports[index]});
    }
    if (answer.helper_memory.size() == helpers) {
        assignment.helperMemory = answer.helper_memory;
    }
    assignment.upstreamStart = answer.upstream_start;
    assignment.crashTrial = answer.crash_trial;
    assignment.firstEventEstimate = microseconds(answer.first_piece_us);
    return assignment;
}

Placement::Refusal refusalFromWire(const Wire::PlacementAnswerT &answer, const Placement::PlacementRequestId &id)
{
    return {id, errorKindFromWire(answer.error), milliseconds(answer.retry_after_ms)};
}

Placement::GrantOutcome outcomeFromWire(std::uint8_t value)
{
    constexpr auto last = static_cast<std::uint8_t>(Placement::GrantOutcome::Unused);
    return value <= last ? static_cast<Placement::GrantOutcome>(value) : Placement::GrantOutcome::Cancelled;
}

Wire::UpstreamNoticeT toWire(const Placement::Assignment &assignment, const Placement::UpstreamNotice &notice)
{
    Wire::UpstreamNoticeT message;
    message.upstream = assignment.upstream.value();
    message.start = assignment.upstreamStart;
    message.leaving = notice.leaving;
    message.pause_ms = toMilliseconds(notice.pause);
    return message;
}

Placement::UpstreamNotice fromWire(const Wire::UpstreamNoticeT &notice)
{
    return {notice.leaving, milliseconds(notice.pause_ms)};
}

Wire::CrashSuspectT toWire(const Placement::SuspectState &state)
{
    Wire::CrashSuspectT suspect;
    suspect.suspect = state.suspect;
    suspect.crashes = state.crashes;
    suspect.cleared = state.cleared;
    suspect.trials = state.trials;
    suspect.cleared_trials = state.clearedTrials;
    return suspect;
}

Placement::SuspectState fromWire(const Wire::CrashSuspectT &suspect)
{
    Placement::SuspectState state{suspect.suspect, suspect.crashes, suspect.cleared, suspect.trials, suspect.cleared_trials};
    // A peer of another version might send them in another order.
    std::sort(state.crashes.begin(), state.crashes.end());
    std::sort(state.cleared.begin(), state.cleared.end());
    state.clearedTrials = std::min(state.clearedTrials, state.trials);
    return state;
}

Wire::CrashUpdateT toWire(const std::vector<Placement::SuspectState> &states)
{
    Wire::CrashUpdateT update;
    std::map<std::tuple<std::vector<Placement::CrashId>, std::vector<Placement::CrashId>, std::uint32_t, std::uint32_t>, Wire::CrashSuspectT *> groups;
    for (const Placement::SuspectState &state : states) {
        Wire::CrashSuspectT *&group = groups[{state.crashes, state.cleared, state.trials, state.clearedTrials}];
        if (group != nullptr) {
            group->also.push_back(state.suspect);
            continue;
        }
        update.suspects.push_back(std::make_unique<Wire::CrashSuspectT>(toWire(state)));
        group = update.suspects.back().get();
    }
    return update;
}

std::vector<Placement::SuspectState> fromWire(const Wire::CrashUpdateT &update)
{
    std::vector<Placement::SuspectState> states;
    for (const std::unique_ptr<Wire::CrashSuspectT> &suspect : update.suspects) {
        if (!suspect) {
            continue;
        }
        states.push_back(fromWire(*suspect));
        for (const Placement::SuspectId other : suspect->also) {
            Placement::SuspectState state = states.back();
            state.suspect = other;
            states.push_back(std::move(state));
        }
    }
    return states;
}

Wire::PlacementAdoptionT toWire(const Placement::ReportedGrant &grant, TimePoint now)
{
    Wire::PlacementAdoptionT adoption;
    adoption.call = std::make_unique<Wire::PlacementCallT>(toWire(grant.placementRequest, now));
    adoption.upstream = grant.upstream.value();
    for (const UpstreamId &helper : grant.helpers) {
        adoption.helpers.push_back(helper.value());
    }
    adoption.reading = grant.reading;
    return adoption;
}

Placement::ReportedGrant fromWire(const Wire::PlacementAdoptionT &adoption, const HostId &host, TimePoint now)
{
    Placement::ReportedGrant grant;
    if (adoption.call) {
        grant.placementRequest = fromWire(*adoption.call, host, now);
    }
    grant.upstream = UpstreamId(adoption.upstream);
    for (const std::string &helper : adoption.helpers) {
        grant.helpers.emplace_back(helper);
    }
    grant.reading = adoption.reading;
    return grant;
}

}
