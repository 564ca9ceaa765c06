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
 * \brief Runs one prompt on several engines, from the host that accepted the request.
 *
 * It reserves memory at all engines of the plan or at none, one engine after another in the order of their ids.
 * Dispatchers answer each call at once instead of queueing it, and of several competing coordinators the one that
 * reserves first at the engine with the lowest id that they share proceeds; so they neither deadlock nor refuse each
 * other in a cycle. After a refusal it releases all reservations and retries once after a random delay. While the chain
 * runs it renews all reservations. Any failure ends the request and releases all reservations; it counts as a failure
 * if renewals of a reservation get no answer until shortly before it expires.
 */
class LongPromptCoordinator
{
public:
    /// \p attempts own the reservations of the first try and of the retry; they differ so that a late release of the first try does not
    /// release the retry's reservations.
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
        RetryDelay, ///< Waiting for the one retry after a refusal.
        Running,
        Ended,
    };

    const AttemptId &owner() const;
    void handleRenewalAnswer(const ReserveAtAnswered &event, LongPromptActions &actions);
    void reserveNext(TimePoint now, LongPromptActions &actions);
    void handleRefusal(TimePoint now, RandomEngine &random, LongPromptActions &actions);
    void startStep(ChainStepKind kind, LongPromptActions &actions);
    void renewAll(TimePoint now, LongPromptActions &actions);
    bool anyMayExpireSoon(TimePoint now) const;
    void releaseAll(std::size_t count, LongPromptActions &actions) const;
    void end(ErrorKind error, LongPromptActions &actions);

    LongPromptPlan m_plan;
    std::vector<PromptSegment> m_reservationOrder; ///< The plan's segments, sorted by engine id.
    std::array<AttemptId, 2> m_attempts;
    TimePoint m_deadline;
    ReservationLimits m_limits;
    Phase m_phase = Phase::New;
    std::size_t m_attemptIndex = 0;
    std::size_t m_requestedReservations = 0; ///< Number of engines asked so far; the last one may not have answered yet.
    TimePoint m_nextActionAt; ///< Reserving: answer timeout; RetryDelay: time of the retry; Running: next renewal.
    std::size_t m_currentSegment = 0;
    ChainStepKind m_currentStep = ChainStepKind::Prefill;
    TimePoint m_renewalsSentAt; ///< When the last renewals were sent.
    std::vector<TimePoint> m_validUntil; ///< Per entry of m_reservationOrder; counted from the call, so it ends before the dispatcher's expiry.
    KvBlockId m_exportedBlock; ///< Exported by the previous segment's engine.
    bool m_anyStepSent = false;
};

}
