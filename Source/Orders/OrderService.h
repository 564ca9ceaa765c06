#pragma once

#include "Orders/OrderActions.h"
#include "Orders/OrderLedger.h"
#include "Orders/OrderLimits.h"
#include "Orders/OrderProcessor.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Mangofall::Orders {

/**
 * \class OrderService
 * \brief All orders of one ledger: routes events between callers, upstreams, the orders' processors and the ledger.
 *
 * Call handle(OrderTick) often enough for the shortest retry delay; call ids of store calls are unique per service.
 */
class OrderService
{
public:
    /// \p process names this process in attempt ids; its sequence is the last one used.
    OrderService(std::unique_ptr<OrderLedger> ledger, AttemptId process, OrderLimits limits);

    OrderActions handle(const BecomeOwner &event, TimePoint now);
    OrderActions handle(const StopOwning &event, TimePoint now);
    OrderActions handle(const OrderRequest &event, TimePoint now);
    OrderActions handle(const StoreAnswered &event, TimePoint now);
    OrderActions handle(const UpstreamAnswered &event, TimePoint now);
    OrderActions handle(const StatusAnswered &event, TimePoint now);
    OrderActions handle(const OperatorDecided &event, TimePoint now);
    OrderActions handle(const OrderTick &event, TimePoint now);

    /// Unknown orders for operators: key, organisation, service, upstream and claim time of each.
    std::vector<OrderRecord> unknownOrders() const;

    /// Whether no order is under way; a host that leaves waits for it after it stopped to take new orders.
    bool isIdle() const;

    /// Last attempt id used; a new service of the same process continues from it.
    AttemptId lastAttempt() const;

private:
    void execute(LedgerActions ledgerActions, TimePoint now, OrderActions &actions);
    void execute(ProcessorActions processorActions, TimePoint now, OrderActions &actions);
    void recoverUnresolved(const OwnershipConfirmed &event, OrderActions &actions);
    void handleOwnershipLost(const OwnershipLost &event, TimePoint now, OrderActions &actions);
    template<class Event>
    OrderActions dispatch(const Event &event, TimePoint now);
    template<class Event>
    void deliverToProcessor(const Event &event, TimePoint now, OrderActions &actions);

    std::unique_ptr<OrderLedger> m_ledger;
    AttemptId m_lastAttempt;
    OrderLimits m_limits;
    std::unordered_map<OrderKey, OrderProcessor> m_processors;
};

}
