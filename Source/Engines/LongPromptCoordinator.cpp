#include "Engines/LongPromptCoordinator.h"

#include <algorithm>
#include <utility>

namespace Mangofall {

LongPromptCoordinator::LongPromptCoordinator(LongPromptPlan plan, std::array<AttemptId, 2> attempts, TimePoint deadline, ReservationLimits limits)
    : m_plan(std::move(plan))
    , m_reservationOrder(m_plan.segments)
    , m_attempts(attempts)
    , m_deadline(deadline)
    , m_limits(limits)
{
    std::sort(m_reservationOrder.begin(), m_reservationOrder.end(), [](const PromptSegment &left, const PromptSegment &right) {
        return left.upstream.value() < right.upstream.value();
    });
}

LongPromptActions LongPromptCoordinator::start(TimePoint now)
{
    LongPromptActions actions;
    if (m_phase == Phase::New) {
        m_phase = Phase::Reserving;
        reserveNext(now, actions);
    }
    return actions;
}

LongPromptActions LongPromptCoordinator::handle(const ReserveAtAnswered &event, TimePoint now, RandomEngine &random)
{
    LongPromptActions actions;
    if (event.owner != owner()) {
        return actions;
    }
    if (m_phase == Phase::Running) {
        handleRenewalAnswer(event, actions);
    } else if (m_phase == Phase::Reserving && event.upstream == m_reservationOrder[m_requestedReservations - 1].upstream) {
        if (event.granted) {
            reserveNext(now, actions);
        } else {
            handleRefusal(now, random, actions);
        }
    }
    return actions;
}

void LongPromptCoordinator::handleRenewalAnswer(const ReserveAtAnswered &event, LongPromptActions &actions)
{
    if (!event.granted) {
        // The reservation has expired, and its memory may already be reserved for another attempt.
        end(ErrorKind::UpstreamFailed, actions);
        return;
    }
    for (std::size_t i = 0; i < m_reservationOrder.size(); ++i) {
        if (m_reservationOrder[i].upstream == event.upstream) {
            m_validUntil[i] = m_renewalsSentAt + m_limits.validity;
        }
    }
}

LongPromptActions LongPromptCoordinator::handle(const ChainStepEnded &event, TimePoint)
{
    LongPromptActions actions;
    const bool isCurrent
        = m_phase == Phase::Running && event.owner == owner() && event.kind == m_currentStep && event.upstream == m_plan.segments[m_currentSegment].upstream;
    if (!isCurrent) {
        return actions;
    }
    if (!event.succeeded) {
        end(ErrorKind::UpstreamFailed, actions);
        return actions;
    }
    const bool isLast = m_currentSegment + 1 == m_plan.segments.size();
    switch (m_currentStep) {
    case ChainStepKind::Import:
        startStep(ChainStepKind::Prefill, actions);
        break;
    case ChainStepKind::Prefill:
        startStep(isLast ? ChainStepKind::Decode : ChainStepKind::Export, actions);
        break;
    case ChainStepKind::Export:
        m_exportedBlock = event.block;
        ++m_currentSegment;
        startStep(ChainStepKind::Import, actions);
        break;
    case ChainStepKind::Decode:
        end(ErrorKind::None, actions);
        break;
    }
    return actions;
}

LongPromptActions LongPromptCoordinator::handle(const CancelLongPrompt &event, TimePoint)
{
    LongPromptActions actions;
    if (m_phase != Phase::Ended) {
        end(event.reason, actions);
    }
    return actions;
}

LongPromptActions LongPromptCoordinator::handle(const LongPromptTick &, TimePoint now, RandomEngine &random)
{
    LongPromptActions actions;
    if (m_phase == Phase::New || m_phase == Phase::Ended) {
        return actions;
    }
    if (now >= m_deadline) {
        end(ErrorKind::DeadlineExceeded, actions);
    } else if (m_phase == Phase::Running && anyMayExpireSoon(now)) {
        end(ErrorKind::UpstreamFailed, actions);
    } else if (now >= m_nextActionAt) {
        if (m_phase == Phase::Reserving) {
            handleRefusal(now, random, actions);
        } else if (m_phase == Phase::RetryDelay) {
            m_phase = Phase::Reserving;
            reserveNext(now, actions);
        } else {
            renewAll(now, actions);
        }
    }
    return actions;
}

bool LongPromptCoordinator::isEnded() const
{
    return m_phase == Phase::Ended;
}

const AttemptId &LongPromptCoordinator::owner() const
{
    return m_attempts.at(m_attemptIndex);
}

void LongPromptCoordinator::reserveNext(TimePoint now, LongPromptActions &actions)
{
    if (m_requestedReservations < m_reservationOrder.size()) {
        const PromptSegment &segment = m_reservationOrder[m_requestedReservations++];
        m_nextActionAt = now + m_limits.answerTimeout;
        m_validUntil.push_back(now + m_limits.validity);
        actions.emplace_back(ReserveAt{segment.upstream, owner(), segment.memoryTokens(), false});
        return;
    }
    m_phase = Phase::Running;
    // The first reservations have already used up part of their validity, so all are renewed at once.
    renewAll(now, actions);
    startStep(ChainStepKind::Prefill, actions);
}

void LongPromptCoordinator::handleRefusal(TimePoint now, RandomEngine &random, LongPromptActions &actions)
{
    if (m_attemptIndex + 1 == m_attempts.size()) {
        end(ErrorKind::NoUpstream, actions);
        return;
    }
    releaseAll(m_requestedReservations, actions);
    m_requestedReservations = 0;
    m_validUntil.clear();
    ++m_attemptIndex;
    m_phase = Phase::RetryDelay;
    m_nextActionAt = now + Duration(random(static_cast<std::uint64_t>(m_limits.maxRetryDelay.count()) + 1));
}

void LongPromptCoordinator::startStep(ChainStepKind kind, LongPromptActions &actions)
{
    m_currentStep = kind;
    m_anyStepSent = true;
    actions.emplace_back(RunChainStep{kind, owner(), m_plan.segments[m_currentSegment], kind == ChainStepKind::Import ? m_exportedBlock : KvBlockId()});
}

void LongPromptCoordinator::renewAll(TimePoint now, LongPromptActions &actions)
{
    m_nextActionAt = now + m_limits.renewInterval;
    m_renewalsSentAt = now;
    for (const PromptSegment &segment : m_reservationOrder) {
        actions.emplace_back(ReserveAt{segment.upstream, owner(), segment.memoryTokens(), true});
    }
}

bool LongPromptCoordinator::anyMayExpireSoon(TimePoint now) const
{
    // The answer timeout serves as the margin for the time between two ticks.
    return std::any_of(m_validUntil.begin(), m_validUntil.end(), [&](TimePoint until) {
        return now + m_limits.answerTimeout >= until;
    });
}

void LongPromptCoordinator::releaseAll(std::size_t count, LongPromptActions &actions) const
{
    for (std::size_t i = 0; i < count; ++i) {
        actions.emplace_back(ReleaseAt{m_reservationOrder[i].upstream, owner()});
    }
}

void LongPromptCoordinator::end(ErrorKind error, LongPromptActions &actions)
{
    releaseAll(m_requestedReservations, actions);
    m_phase = Phase::Ended;
    actions.emplace_back(LongPromptEnded{error, m_anyStepSent});
}

}
