#pragma once

#include "Orders/OrderActions.h"
#include "Orders/OrderLimits.h"
#include "Orders/RetryDelay.h"

#include <optional>
#include <vector>

namespace Mangofall::Orders {

/**
 * \class OrderProcessor
 * \brief The state machine of one order at the owner of its shard: claim, send once, record the outcome.
 *
 * An order is sent only on the transition from Claiming to Sent, when its claim has become durable. The processor never returns
 * to Claiming after that, so a claim is sent at most once. An unresolved claim of a former owner is never sent; it is resolved
 * only by the status call, a forwarded answer or an operator.
 */
class OrderProcessor
{
public:
    /// Creates the processor of a new order; the first handle(OrderRequest) requests the claim.
    OrderProcessor(OrderClaim claim, const OrderLimits &limits);

    /// Creates the processor of an order of unknown outcome that a former owner left without resolution.
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

    /// Whether the order needs no further processing and the processor may be destroyed.
    bool isFinished() const;

    /// Whether the ledger has not answered the claim yet.
    bool awaitsClaim() const;

    /// Whether the order may have run and its outcome is unknown; operators may resolve it.
    bool isUnknown() const;

private:
    enum class Phase {
        New,
        Claiming,
        Abandoned, ///< The claim is withdrawn, but may already be on its way to the store; the order is sent only if a caller retries in time.
        Sent,
        OutcomeUnknown, ///< The order may have run; the status call or an operator resolves it.
        Recording, ///< The resolution is known, but not durable yet.
        Fenced, ///< The order was sent, but another owner now resolves it; the upstream's answer is forwarded.
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
    TimePoint m_phaseDeadline; ///< When the wait for the claim or for the upstream's answer ends.
    std::optional<TimePoint> m_nextStatusCallAt;
    RetryDelay m_statusRetryDelay;
    OrderResolution m_resolution;
    bool m_operatorWaits = false; ///< Whether an operator's decision has not been answered yet.
};

}
