#include "Engines/LongPromptCoordinator.h"

#include <algorithm>
#include <utility>

namespace Mangofall {

LongPromptCoordinator::LongPromptCoordinator(LongPromptPlan plan, std::array<AttemptId, 2> attempts, TimePoint deadline, ReservationLimits limits)
    : m_plan(std::move(plan))
    , m_members(m_plan.segments)
    , m_attempts(attempts)
    , m_deadline(deadline)
    , m_limits(limits)
{
    std::sort(m_members.begin(), m_members.end(), [](const PromptSegment &left, const PromptSegment &right) {
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
        renewalAnswered(event, actions);
    } else if (m_phase == Phase::Reserving && event.upstream == m_members[m_reserved - 1].upstream) {
        if (event.granted) {
            reserveNext(now, actions);
        } else {
            refused(now, random, actions);
        }
    }
    return actions;
}

void LongPromptCoordinator::renewalAnswered(const ReserveAtAnswered &event, LongPromptActions &actions)
{
    if (!event.granted) {
        // The memory may belong to another attempt already.
        end(ErrorKind::UpstreamFailed, actions);
        return;
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].upstream == event.upstream) {
            m_validUntil[i] = m_renewedAt + m_limits.validity;
        }
    }
}

LongPromptActions LongPromptCoordinator::handle(const ChainStepEnded &event, TimePoint)
{
    LongPromptActions actions;
    const bool isCurrent = m_phase == Phase::Running && event.owner == owner() && event.kind == m_step && event.upstream == m_plan.segments[m_segment].upstream;
    if (!isCurrent) {
        return actions;
    }
    if (!event.succeeded) {
        end(ErrorKind::UpstreamFailed, actions);
        return actions;
    }
    const bool isLast = m_segment + 1 == m_plan.segments.size();
    switch (m_step) {
    case ChainStepKind::Import:
        runStep(ChainStepKind::Prefill, actions);
        break;
    case ChainStepKind::Prefill:
        runStep(isLast ? ChainStepKind::Decode : ChainStepKind::Export, actions);
        break;
    case ChainStepKind::Export:
        m_block = event.block;
        ++m_segment;
        runStep(ChainStepKind::Import, actions);
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
    } else if (m_phase == Phase::Running && mayHaveExpired(now)) {
        end(ErrorKind::UpstreamFailed, actions);
    } else if (now >= m_wakeAt) {
        if (m_phase == Phase::Reserving) {
            refused(now, random, actions);
        } else if (m_phase == Phase::Waiting) {
            m_phase = Phase::Reserving;
            reserveNext(now, actions);
        } else {
            renew(now, actions);
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
    return m_attempts.at(m_try);
}

void LongPromptCoordinator::reserveNext(TimePoint now, LongPromptActions &actions)
{
    if (m_reserved < m_members.size()) {
        const PromptSegment &member = m_members[m_reserved++];
        m_wakeAt = now + m_limits.answerTimeout;
        m_validUntil.push_back(now + m_limits.validity);
        actions.emplace_back(ReserveAt{member.upstream, owner(), member.memoryTokens(), false});
        return;
    }
    m_phase = Phase::Running;
    // The first members' reservations are as old as the reserving took, so they are renewed at once.
    renew(now, actions);
    runStep(ChainStepKind::Prefill, actions);
}

void LongPromptCoordinator::refused(TimePoint now, RandomEngine &random, LongPromptActions &actions)
{
    if (m_try + 1 == m_attempts.size()) {
        end(ErrorKind::NoUpstream, actions);
        return;
    }
    releaseAll(m_reserved, actions);
    m_reserved = 0;
    m_validUntil.clear();
    ++m_try;
    m_phase = Phase::Waiting;
    m_wakeAt = now + Duration(random(static_cast<std::uint64_t>(m_limits.maxRetryDelay.count()) + 1));
}

void LongPromptCoordinator::runStep(ChainStepKind kind, LongPromptActions &actions)
{
    m_step = kind;
    m_anyStepSent = true;
    actions.emplace_back(RunChainStep{kind, owner(), m_plan.segments[m_segment], kind == ChainStepKind::Import ? m_block : KvBlockId()});
}

void LongPromptCoordinator::renew(TimePoint now, LongPromptActions &actions)
{
    m_wakeAt = now + m_limits.renewInterval;
    m_renewedAt = now;
    for (const PromptSegment &member : m_members) {
        actions.emplace_back(ReserveAt{member.upstream, owner(), member.memoryTokens(), true});
    }
}

bool LongPromptCoordinator::mayHaveExpired(TimePoint now) const
{
    // The answer timeout is the margin for the time between two ticks.
    return std::any_of(m_validUntil.begin(), m_validUntil.end(), [&](TimePoint until) {
        return now + m_limits.answerTimeout >= until;
    });
}

void LongPromptCoordinator::releaseAll(std::size_t members, LongPromptActions &actions) const
{
    for (std::size_t i = 0; i < members; ++i) {
        actions.emplace_back(ReleaseAt{m_members[i].upstream, owner()});
    }
}

void LongPromptCoordinator::end(ErrorKind error, LongPromptActions &actions)
{
    releaseAll(m_reserved, actions);
    m_phase = Phase::Ended;
    actions.emplace_back(LongPromptEnded{error, m_anyStepSent});
}

}
