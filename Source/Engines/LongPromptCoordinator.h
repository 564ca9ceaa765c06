#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"
#include "Engines/LongPromptActions.h"
#include "Engines/ReservationLimits.h"

#include <array>
#include <cstddef>
#include <vector>

namespace Mangofall {

/**
 * \class LongPromptCoordinator
 * \brief The entry host's side of one prompt that runs on several engines.
 *
 * It reserves memory at all engines or at none, one after another in the order of their ids. No dispatcher lets a call
 * wait, and of several coordinators that compete, the one that is first at the lowest shared id goes on; so they
 * neither deadlock nor refuse each other in a circle. After a refusal it releases everything and tries once more after
 * a random wait. While the chain runs it renews all reservations; any failure releases everything, also a reservation
 * whose renewals get no answer until shortly before its expiry.
 */
class LongPromptCoordinator
{
public:
    /// \p attempts own the first try and the retry: a late release of the first must not end the second.
    LongPromptCoordinator(LongPromptPlan plan, std::array<AttemptId, 2> attempts, TimePoint deadline, ReservationLimits limits);

    LongPromptActions start(TimePoint now);
    LongPromptActions handle(const ReserveAtAnswered &event, TimePoint now, RandomEngine &random);
    LongPromptActions handle(const ChainStepEnded &event, TimePoint now);
    LongPromptActions handle(const CancelLongPrompt &event, TimePoint now);
    LongPromptActions handle(const LongPromptTick &event, TimePoint now, RandomEngine &random);

    bool isEnded() const;

private:
    enum class Phase {
        New,
        Reserving,
        Waiting, ///< Before the retry.
        Running,
        Ended,
    };

    const AttemptId &owner() const;
    void renewalAnswered(const ReserveAtAnswered &event, LongPromptActions &actions);
    void reserveNext(TimePoint now, LongPromptActions &actions);
    void refused(TimePoint now, RandomEngine &random, LongPromptActions &actions);
    void runStep(ChainStepKind kind, LongPromptActions &actions);
    void renew(TimePoint now, LongPromptActions &actions);
    bool mayHaveExpired(TimePoint now) const;
    void releaseAll(std::size_t members, LongPromptActions &actions) const;
    void end(ErrorKind error, LongPromptActions &actions);

    LongPromptPlan m_plan;
    std::vector<PromptSegment> m_members; ///< The segments in the order of their engines' ids.
    std::array<AttemptId, 2> m_attempts;
    TimePoint m_deadline;
    ReservationLimits m_limits;
    Phase m_phase = Phase::New;
    std::size_t m_try = 0;
    std::size_t m_reserved = 0; ///< Members asked so far, the last maybe without answer.
    TimePoint m_wakeAt; ///< Reserving: answer timeout; Waiting: retry; Running: next renewal.
    std::size_t m_segment = 0;
    ChainStepKind m_step = ChainStepKind::Prefill;
    TimePoint m_renewedAt; ///< When the last renewals were sent.
    std::vector<TimePoint> m_validUntil; ///< Per member; counted from the sending, so that it ends before the dispatcher's expiry.
    KvBlockId m_block; ///< Exported by the previous segment's engine.
    bool m_anyStepSent = false;
};

}
