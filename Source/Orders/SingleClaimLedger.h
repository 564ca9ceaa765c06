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
 * \brief The simple ledger: one store key per order, created by the claim and replaced by the resolution.
 *
 * It needs two store calls per order and no owner. The store has no call that lists or deletes keys, so it forgets no
 * order and knows only the unresolved orders that it was asked about. OrderLedgerShard replaces it where that matters.
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

    /// The store key of \p key's record.
    static std::string storeKey(const OrderKey &key);

private:
    enum class Step {
        Idle,
        Write,
        ReadBack,
    };

    struct Entry {
        OrderRecord record; ///< As written, or to be written.
        StoreVersion version = 0; ///< Version that the write replaces.
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
    std::unordered_map<OrderKey, Entry> m_entries; ///< Unresolved orders and writes under way.
    StoreCallId m_lastCall = 0;
};

}
