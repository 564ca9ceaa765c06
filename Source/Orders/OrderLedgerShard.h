#pragma once

#include "Orders/LedgerHead.h"
#include "Orders/OrderLedger.h"
#include "Orders/OrderLimits.h"
#include "Orders/RetryDelay.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Mangofall::Orders {

/**
 * \class OrderLedgerShard
 * \brief The owner's side of one ledger shard: commits claims and resolutions in groups.
 *
 * Each commit is one compare-and-swap on the shard's head, and a new one starts only after the former is settled. The
 * first write of an owner raises the head's epoch, so that any later write of a former owner conflicts. A write without
 * answer is settled by reading the head back: it took effect, or nothing changed and the identical value is written
 * again, or another owner wrote and this one stops.
 *
 * Call ids are unique within one shard object.
 */
class OrderLedgerShard final : public OrderLedger
{
public:
    /// \p storeKey is the head's key, \p writer is unique to this process (host id and incarnation).
    OrderLedgerShard(std::string storeKey, std::string writer, OrderLimits limits);

    LedgerActions handle(const BecomeOwner &event, TimePoint now) override;
    LedgerActions handle(const StopOwning &event, TimePoint now) override;
    LedgerActions handle(const ClaimOrder &event, TimePoint now) override;
    LedgerActions handle(const WithdrawClaim &event, TimePoint now) override;
    LedgerActions handle(const ResolveOrder &event, TimePoint now) override;
    LedgerActions handle(const StoreAnswered &event, TimePoint now) override;
    LedgerActions handle(const OrderTick &event, TimePoint now) override;

    bool isLoaded() const override;
    std::vector<OrderRecord> unresolved() const override;

    /// Upper bound of the encoded head's size in bytes, without room reserved for outcomes.
    std::size_t headBytes() const;

private:
    using Operation = std::variant<ClaimOrder, ResolveOrder>;

    enum class Phase {
        Inactive, ///< Not the owner.
        ReadingHead, ///< Reads the head of the former owner.
        WritingEpoch, ///< Writes the new epoch.
        Active,
    };

    enum class Step {
        Idle,
        ReadHead,
        WriteHead,
        ReadBack, ///< Settles a write without answer or with a conflict.
    };

    struct BodyWrite {
        ResolveOrder resolve;
        std::string body;
        std::optional<TimePoint> retryAt;
    };

    void issueStep(LedgerActions &actions);
    void issueBodyWrite(StoreCallId call, LedgerActions &actions);
    void scheduleRetry(Step step, TimePoint now);
    void handleHeadRead(const StoreAnswered &event, TimePoint now, LedgerActions &actions);
    void handleHeadWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions);
    void handleHeadReadBack(const StoreAnswered &event, TimePoint now, LedgerActions &actions);
    void handleBodyWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions);
    void takeOwnership(LedgerHead head, StoreVersion version, TimePoint now, LedgerActions &actions);
    void load(LedgerHead head, TimePoint now);
    void writeHead(TimePoint now, LedgerActions &actions);
    void handleCommitted(StoreVersion version, TimePoint now, LedgerActions &actions);
    void startCommit(TimePoint now, LedgerActions &actions);
    bool applyNext(TimePoint now, LedgerActions &actions);
    bool apply(const ClaimOrder &operation, TimePoint now, LedgerActions &actions);
    bool apply(const ResolveOrder &operation, TimePoint now, LedgerActions &actions);
    void store(const OrderRecord &record);
    void erase(const OrderKey &key);
    void forgetOldRecords(TimePoint now);
    bool hasRoomFor(const OrderRecord &record) const;
    std::optional<OrderRecord> find(const OrderKey &key) const;
    std::chrono::milliseconds ledgerTime(TimePoint now) const;
    void loseOwnership(OwnershipLossReason reason, const LedgerHead *current, LedgerActions &actions);
    void refuseClaimAfterLoss(const ClaimOrder &claim, const LedgerHead *current, bool wasLoaded, LedgerActions &actions) const;

    std::string m_storeKey;
    std::string m_writer;
    OrderLimits m_limits;

    Phase m_phase = Phase::Inactive;
    LedgerHead m_head; ///< Includes the operations of the commit in flight.
    StoreVersion m_version = 0; ///< Version of the last head known to be in the store.
    std::size_t m_recordBytes = 0;
    std::size_t m_unresolvedCount = 0;
    std::deque<std::pair<std::chrono::milliseconds, OrderKey>> m_resolvedByAge; ///< Oldest first; may name a key claimed again.
    TimePoint m_clockAnchor; ///< When the head's clock was taken over.
    std::chrono::milliseconds m_clockBase{0};

    std::deque<Operation> m_pendingOperations;
    std::size_t m_pendingClaims = 0;
    std::vector<Operation> m_operationsInFlight;
    std::string m_headValueInFlight;

    Step m_step = Step::Idle;
    std::optional<StoreCallId> m_headCall; ///< The head's call in flight; empty while a step waits for its retry.
    std::optional<TimePoint> m_retryAt;
    RetryDelay m_retryDelay;
    std::map<StoreCallId, BodyWrite> m_bodyWrites;
    StoreCallId m_lastCall = 0;
};

}
