#include "Orders/OrderProcessor.h"

#include <algorithm>
#include <utility>

namespace Mangofall::Orders {

OrderProcessor::OrderProcessor(OrderClaim claim, const OrderLimits &limits)
    : m_claim(std::move(claim))
    , m_limits(limits)
    , m_statusRetryDelay(limits.firstRetryDelay, limits.maxRetryDelay)
{
}

OrderProcessor::OrderProcessor(const OrderRecord &unknown, const OrderLimits &limits)
    : OrderProcessor(unknown.claim, limits)
{
    m_phase = Phase::OutcomeUnknown;
    if (m_claim.hasStatusCall) {
        m_nextStatusCallAt = TimePoint::min();
    }
}

ProcessorActions OrderProcessor::handle(const OrderRequest &event, TimePoint now)
{
    ProcessorActions actions;
    if (event.bodyHash != m_claim.bodyHash) {
        answer(event.caller, ErrorKind::IdempotencyKeyReused, true, actions);
        return actions;
    }
    const bool isNew = m_phase == Phase::New;
    if (isNew || m_phase == Phase::Abandoned) {
        m_phase = Phase::Claiming;
        m_phaseDeadline = now + m_limits.claimTimeout;
        m_callers.push_back({event.caller, event.deadline});
        if (isNew) {
            actions.emplace_back(ClaimOrder{m_claim});
        }
    } else if (m_phase == Phase::OutcomeUnknown && (!event.waits || !m_claim.hasStatusCall)) {
        answer(event.caller, ErrorKind::OrderUnknown, false, actions);
    } else if (m_phase == Phase::Fenced) {
        answer(event.caller, ErrorKind::NotReady, false, actions);
    } else if (!event.waits) {
        answer(event.caller, ErrorKind::OrderInProgress, false, actions);
    } else {
        m_callers.push_back({event.caller, event.deadline});
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const ClaimGranted &event, TimePoint now)
{
    ProcessorActions actions;
    if (event.attempt != m_claim.attempt) {
        return actions;
    }
    if (m_phase == Phase::Abandoned) {
        resolve({false, ResolutionSource::NeverSent, {}}, actions);
    } else if (m_phase == Phase::Claiming) {
        m_phase = Phase::Sent;
        m_phaseDeadline = now + m_limits.upstreamTimeout;
        actions.emplace_back(SendOrder{m_claim.key, m_claim.attempt, m_claim.upstream, m_callers.front().id});
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const ClaimExists &event, TimePoint now)
{
    ProcessorActions actions;
    // While recording, this means that another process resolved the attempt and the key was claimed again.
    if (event.attempt != m_claim.attempt || (!awaitsClaim() && m_phase != Phase::Recording)) {
        return actions;
    }
    answerOperator(DecisionResult::NotUnknown, actions);
    const OrderRecord &record = event.record;
    if (record.claim.bodyHash != m_claim.bodyHash) {
        answerAll(ErrorKind::IdempotencyKeyReused, true, actions);
        m_phase = Phase::Finished;
    } else if (record.resolution) {
        answerAll(*record.resolution, actions);
        m_phase = Phase::Finished;
    } else if (event.owned) {
        m_claim = record.claim;
        handleUnknownOutcome(now, actions);
    } else {
        answerAll(ErrorKind::OrderInProgress, false, actions);
        m_phase = Phase::Finished;
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const ClaimRefused &event, TimePoint)
{
    ProcessorActions actions;
    if (event.attempt == m_claim.attempt && (m_phase == Phase::Claiming || m_phase == Phase::Abandoned)) {
        answerAll(event.reason, event.notRun, actions);
        m_phase = Phase::Finished;
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const ClaimInFlight &event, TimePoint)
{
    ProcessorActions actions;
    if (event.attempt == m_claim.attempt && m_phase == Phase::Abandoned) {
        answerAll(ErrorKind::StoreUnavailable, event.notRun, actions);
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const OrderRecorded &event, TimePoint)
{
    ProcessorActions actions;
    if (m_phase == Phase::Recording) {
        answerAll(event.resolution, actions);
        answerOperator(event.resolution.source == ResolutionSource::Operator ? DecisionResult::Recorded : DecisionResult::NotUnknown, actions);
        m_phase = Phase::Finished;
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const UpstreamAnswered &event, TimePoint now)
{
    ProcessorActions actions;
    if (event.attempt != m_claim.attempt) {
        return actions;
    }
    if (m_phase == Phase::Fenced) {
        if (event.result != UpstreamResult::Broken) {
            actions.emplace_back(ForwardOutcome{event});
        }
        m_phase = Phase::Finished;
    } else if (m_phase == Phase::Sent && event.result == UpstreamResult::Broken) {
        handleUnknownOutcome(now, actions);
    } else if ((m_phase == Phase::Sent || m_phase == Phase::OutcomeUnknown) && event.result != UpstreamResult::Broken) {
        resolve({event.result == UpstreamResult::Answered, ResolutionSource::UpstreamAnswer, event.outcome}, actions);
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const StatusAnswered &event, TimePoint now)
{
    ProcessorActions actions;
    if (event.attempt != m_claim.attempt || m_phase != Phase::OutcomeUnknown) {
        return actions;
    }
    if (event.result == StatusResult::NoAnswer) {
        m_nextStatusCallAt = now + m_statusRetryDelay.take();
    } else {
        resolve({event.result == StatusResult::Ran, ResolutionSource::StatusCall, event.outcome}, actions);
    }
    return actions;
}

ProcessorActions OrderProcessor::handle(const OperatorDecided &event, TimePoint)
{
    ProcessorActions actions;
    if (!isUnknown()) {
        actions.emplace_back(DecisionAnswered{event.key, DecisionResult::NotUnknown});
        return actions;
    }
    m_operatorWaits = true;
    resolve({event.ran, ResolutionSource::Operator, event.outcome}, actions);
    return actions;
}

ProcessorActions OrderProcessor::handle(const OwnershipLost &, TimePoint)
{
    ProcessorActions actions;
    if (m_phase == Phase::Recording && m_resolution.source == ResolutionSource::UpstreamAnswer) {
        const UpstreamResult result = m_resolution.ran ? UpstreamResult::Answered : UpstreamResult::Refused;
        actions.emplace_back(ForwardOutcome{{m_claim.key, m_claim.attempt, result, m_resolution.outcome}});
    }
    const bool mayHaveRun = m_phase != Phase::Claiming && m_phase != Phase::Abandoned;
    answerAll(mayHaveRun ? ErrorKind::OrderUnknown : ErrorKind::NotReady, false, actions);
    answerOperator(DecisionResult::NotOwner, actions);
    m_phase = m_phase == Phase::Sent || m_phase == Phase::Fenced ? Phase::Fenced : Phase::Finished;
    return actions;
}

ProcessorActions OrderProcessor::handle(const OrderTick &, TimePoint now)
{
    ProcessorActions actions;
    switch (m_phase) {
    case Phase::Claiming:
        checkClaimTimeout(now, actions);
        break;
    case Phase::Sent:
        answerExpiredCallers(ErrorKind::OrderUnknown, now, actions);
        if (now >= m_phaseDeadline) {
            handleUnknownOutcome(now, actions);
        }
        break;
    case Phase::OutcomeUnknown:
        answerExpiredCallers(ErrorKind::OrderUnknown, now, actions);
        if (m_nextStatusCallAt && now >= *m_nextStatusCallAt) {
            callStatus(now, actions);
        }
        break;
    case Phase::Recording:
        answerExpiredCallers(ErrorKind::OrderUnknown, now, actions);
        break;
    case Phase::Fenced:
        if (now >= m_phaseDeadline) {
            m_phase = Phase::Finished;
        }
        break;
    case Phase::New:
    case Phase::Abandoned:
    case Phase::Finished:
        break;
    }
    return actions;
}

bool OrderProcessor::isFinished() const
{
    return m_phase == Phase::Finished;
}

bool OrderProcessor::awaitsClaim() const
{
    return m_phase == Phase::Claiming || m_phase == Phase::Abandoned;
}

bool OrderProcessor::isUnknown() const
{
    return m_phase == Phase::OutcomeUnknown;
}

void OrderProcessor::handleUnknownOutcome(TimePoint now, ProcessorActions &actions)
{
    m_phase = Phase::OutcomeUnknown;
    if (m_claim.hasStatusCall) {
        callStatus(now, actions);
    } else {
        answerAll(ErrorKind::OrderUnknown, false, actions);
    }
}

void OrderProcessor::callStatus(TimePoint now, ProcessorActions &actions)
{
    // The call is repeated if no answer arrives by then.
    m_nextStatusCallAt = now + m_limits.upstreamTimeout;
    actions.emplace_back(CallStatus{m_claim.key, m_claim.attempt, m_claim.service, m_claim.upstream});
}

void OrderProcessor::resolve(OrderResolution resolution, ProcessorActions &actions)
{
    m_phase = Phase::Recording;
    m_nextStatusCallAt.reset();
    m_resolution = std::move(resolution);
    actions.emplace_back(ResolveOrder{m_claim.key, m_claim.attempt, m_resolution});
}

void OrderProcessor::answer(const RequestId &caller, ErrorKind error, bool notRun, ProcessorActions &actions) const
{
    actions.emplace_back(AnswerCaller{caller, m_claim.key, error, notRun, std::nullopt});
}

void OrderProcessor::answerAll(ErrorKind error, bool notRun, ProcessorActions &actions)
{
    for (const Caller &caller : std::exchange(m_callers, {})) {
        answer(caller.id, error, notRun, actions);
    }
}

void OrderProcessor::answerAll(const OrderResolution &resolution, ProcessorActions &actions)
{
    if (!resolution.ran) {
        answerAll(resolution.source == ResolutionSource::NeverSent ? ErrorKind::StoreUnavailable : ErrorKind::UpstreamRefused, true, actions);
        return;
    }
    for (const Caller &caller : std::exchange(m_callers, {})) {
        actions.emplace_back(AnswerCaller{caller.id, m_claim.key, ErrorKind::None, false, resolution.outcome});
    }
}

void OrderProcessor::answerExpiredCallers(ErrorKind error, TimePoint now, ProcessorActions &actions)
{
    std::erase_if(m_callers, [&](const Caller &caller) {
        const bool expired = now >= caller.deadline;
        if (expired) {
            answer(caller.id, error, false, actions);
        }
        return expired;
    });
}

void OrderProcessor::answerOperator(DecisionResult result, ProcessorActions &actions)
{
    if (std::exchange(m_operatorWaits, false)) {
        actions.emplace_back(DecisionAnswered{m_claim.key, result});
    }
}

void OrderProcessor::checkClaimTimeout(TimePoint now, ProcessorActions &actions)
{
    const bool anyCallerWaits = std::any_of(m_callers.begin(), m_callers.end(), [&](const Caller &caller) {
        return now < caller.deadline;
    });
    if (anyCallerWaits && now < m_phaseDeadline) {
        // At least one caller still waits, so the order may still be sent.
        answerExpiredCallers(ErrorKind::OrderInProgress, now, actions);
        return;
    }
    m_phase = Phase::Abandoned;
    actions.emplace_back(WithdrawClaim{m_claim.key, m_claim.attempt});
}

}
