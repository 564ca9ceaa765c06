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
 * \brief Handles all orders of one ledger: passes events between callers, upstreams, the orders' processors and the ledger.
 *
 * handle(OrderTick) must be called at least as often as the shortest retry delay. Ids of store calls are unique within one
 * service.
 */
class OrderService
{
public:
    /// \p process identifies this process in attempt ids; its sequence number is the last one used.
    OrderService(std::unique_ptr<OrderLedger> ledger, AttemptId process, OrderLimits limits);

    OrderActions handle(const BecomeOwner &event, TimePoint now);
    OrderActions handle(const StopOwning &event, TimePoint now);
    OrderActions handle(const OrderRequest &event, TimePoint now);
    OrderActions handle(const StoreAnswered &event, TimePoint now);
    OrderActions handle(const UpstreamAnswered &event, TimePoint now);
    OrderActions handle(const StatusAnswered &event, TimePoint now);
    OrderActions handle(const OperatorDecided &event, TimePoint now);
    OrderActions handle(const OrderTick &event, TimePoint now);

    /// The orders of unknown outcome, for operators: key, organisation, service, upstream and claim time of each.
    std::vector<OrderRecord> unknownOrders() const;

    /// Whether no order is in progress; orders of unknown outcome do not count. A leaving host accepts no new orders and waits
    /// until this is true.
    bool isIdle() const;

    /// The last attempt id used; a new service of the same process continues from it.
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
