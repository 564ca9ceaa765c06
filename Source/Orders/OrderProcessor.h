#pragma once

#include "Orders/OrderActions.h"
#include "Orders/OrderLimits.h"
#include "Orders/RetryDelay.h"

#include <optional>
#include <vector>

namespace Mangofall::Orders {

/**
 * \class OrderProcessor
 * \brief One order's life on the shard's owner: claim, durable, send once, outcome, record.
 *
 * It sends only in the step that learns that its claim is durable, and leaves that step for good, so a claim is sent at
 * most once. A claim that another owner left behind is never sent; only its status call, a forwarded answer or an
 * operator settles it.
 */
class OrderProcessor
{
public:
    /// A new order; the first handle(OrderRequest) asks for the claim.
    OrderProcessor(OrderClaim claim, const OrderLimits &limits);

    /// An unknown order that a former owner left without resolution.
    OrderProcessor(const OrderRecord &unknown, const OrderLimits &limits);

    ProcessorActions handle(const OrderRequest &event, TimePoint now);
    ProcessorActions handle(const ClaimGranted &event, TimePoint now);
    ProcessorActions handle(const ClaimExists &event, TimePoint now);
    ProcessorActions handle(const ClaimRefused &event, TimePoint now);
    ProcessorActions handle(const ClaimInFlight &event, TimePoint now);
    ProcessorActions handle(const OrderRecorded &event, TimePoint now);
    ProcessorActions handle(const UpstreamAnswered &event, TimePoint now);
    ProcessorActions handle(const StatusAnswered &event, TimePoint now);
    ProcessorActions handle(const OperatorDecided &event, TimePoint now);
    ProcessorActions handle(const OwnershipLost &event, TimePoint now);
    ProcessorActions handle(const OrderTick &event, TimePoint now);

    /// Whether nothing is left to do and the processor may be destroyed.
    bool isFinished() const;

    /// Whether the ledger has not answered the claim yet.
    bool awaitsClaim() const;

    /// Whether the order may have run and nobody knows; operators may settle it.
    bool isUnknown() const;

private:
    enum class Phase {
        New,
        Claiming,
        Abandoned, ///< Given up while its claim is on its way to the store; it is never sent unless a caller comes back before.
        Sent,
        OutcomeUnknown, ///< May have run; the status call or an operator tells.
        Recording, ///< Its resolution is known and not durable yet.
        Fenced, ///< Sent, but another owner settles it; the upstream's answer is forwarded.
        Finished,
    };

    struct Caller {
        RequestId id;
        TimePoint deadline;
    };

    void handleUnknownOutcome(TimePoint now, ProcessorActions &actions);
    void callStatus(TimePoint now, ProcessorActions &actions);
    void resolve(OrderResolution resolution, ProcessorActions &actions);
    void answer(const RequestId &caller, ErrorKind error, bool notRun, ProcessorActions &actions) const;
    void answerAll(ErrorKind error, bool notRun, ProcessorActions &actions);
    void answerAll(const OrderResolution &resolution, ProcessorActions &actions);
    void answerExpiredCallers(ErrorKind error, TimePoint now, ProcessorActions &actions);
    void answerOperator(DecisionResult result, ProcessorActions &actions);
    void checkClaimTimeout(TimePoint now, ProcessorActions &actions);

    OrderClaim m_claim;
    OrderLimits m_limits;
    Phase m_phase = Phase::New;
    std::vector<Caller> m_callers;
    TimePoint m_phaseDeadline; ///< End of the wait for the claim or for the upstream's answer.
    std::optional<TimePoint> m_nextStatusCallAt; ///< Next status call.
    RetryDelay m_statusRetryDelay;
    OrderResolution m_resolution;
    bool m_operatorWaits = false; ///< An operator's decision is not answered yet.
};

}
