#pragma once

#include "Orders/OrderLedger.h"
#include "Orders/OrderLimits.h"
#include "Orders/RetryDelay.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Mangofall::Orders {

/**
 * \class SingleClaimLedger
 * \brief A simple ledger with one store key per order; the claim creates the value and the resolution replaces it.
 *
 * It needs two store calls per order and no owner. Because the store has no call that lists or deletes keys, this ledger never
 * forgets an order and knows only those unresolved orders for which it got a claim. Use OrderLedgerShard where that matters.
 */
class SingleClaimLedger final : public OrderLedger
{
public:
    explicit SingleClaimLedger(OrderLimits limits);

    LedgerActions handle(const BecomeOwner &event, TimePoint now) override;
    LedgerActions handle(const StopOwning &event, TimePoint now) override;
    LedgerActions handle(const ClaimOrder &event, TimePoint now) override;
    LedgerActions handle(const WithdrawClaim &event, TimePoint now) override;
    LedgerActions handle(const ResolveOrder &event, TimePoint now) override;
    LedgerActions handle(const StoreAnswered &event, TimePoint now) override;
    LedgerActions handle(const OrderTick &event, TimePoint now) override;

    bool isLoaded() const override;
    std::vector<OrderRecord> unresolved() const override;

    /// The store key of the record of order \p key.
    static std::string storeKey(const OrderKey &key);

private:
    enum class Step {
        Idle,
        Write,
        ReadBack,
    };

    struct Entry {
        OrderRecord record; ///< The record as written or as it is to be written.
        StoreVersion version = 0; ///< Version of the stored value that the write replaces.
        Step step = Step::Idle;
        StoreCallId call = 0; ///< 0 while the step waits for its retry.
        std::optional<TimePoint> retryAt;
        RetryDelay retryDelay;
    };

    void issueCall(Entry &entry, LedgerActions &actions);
    void handleAnswer(Entry &entry, const StoreAnswered &event, TimePoint now, LedgerActions &actions);
    void handleWritten(Entry &entry, StoreVersion version, LedgerActions &actions);
    void handleReadBack(Entry &entry, const StoreAnswered &event, LedgerActions &actions);

    OrderLimits m_limits;
    std::unordered_map<OrderKey, Entry> m_entries; ///< Unresolved orders, and orders whose write is in progress.
    StoreCallId m_lastCall = 0;
};

}
