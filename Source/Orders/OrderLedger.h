#pragma once

#include "Base/Time.h"
#include "Orders/LedgerActions.h"
#include "Orders/LedgerEvents.h"

#include <vector>

namespace Mangofall::Orders {

/**
 * \class OrderLedger
 * \brief Stores claims and resolutions of orders durably in the platform's store.
 */
class OrderLedger
{
public:
    OrderLedger() = default;
    virtual ~OrderLedger() = default;

    virtual LedgerActions handle(const BecomeOwner &event, TimePoint now) = 0;
    virtual LedgerActions handle(const StopOwning &event, TimePoint now) = 0;
    virtual LedgerActions handle(const ClaimOrder &event, TimePoint now) = 0;
    virtual LedgerActions handle(const WithdrawClaim &event, TimePoint now) = 0;
    virtual LedgerActions handle(const ResolveOrder &event, TimePoint now) = 0;
    virtual LedgerActions handle(const StoreAnswered &event, TimePoint now) = 0;
    virtual LedgerActions handle(const OrderTick &event, TimePoint now) = 0;

    /// Whether the ledger has been read, so that it is known which orders were claimed before.
    virtual bool isLoaded() const = 0;

    /// The known orders that have no resolution yet.
    virtual std::vector<OrderRecord> unresolved() const = 0;

protected:
    OrderLedger(const OrderLedger &) = default;
    OrderLedger(OrderLedger &&) = default;
    OrderLedger &operator=(const OrderLedger &) = default;
    OrderLedger &operator=(OrderLedger &&) = default;
};

}
