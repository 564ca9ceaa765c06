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
 * \brief One ledger shard as its owner keeps it; commits claims and resolutions in groups.
 *
 * Each commit is one compare-and-swap of the shard's head. The next commit starts only when the outcome of the previous one
 * is known. The first write of an owner raises the head's epoch, so that any later write of a former owner conflicts. If a
 * write gets no answer, the head is read back: either the write took effect, or nothing changed and the identical value is
 * written again, or another owner wrote and this one gives up ownership.
 *
 * Ids of store calls are unique within one object.
 */
class OrderLedgerShard final : public OrderLedger
{
public:
    /// \p storeKey is the store key of the head; \p writer is unique to this process (host id and incarnation).
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

    /// Upper bound of the size in bytes of the encoded head, without the space reserved for outcomes.
    std::size_t headBytes() const;

private:
    using Operation = std::variant<ClaimOrder, ResolveOrder>;

    enum class Phase {
        Inactive, ///< This process is not the owner.
        ReadingHead, ///< The head of the former owner is being read.
        WritingEpoch, ///< The head is being written with the new epoch.
        Active, ///< This process is the owner and commits operations.
    };

    enum class Step {
        Idle,
        ReadHead,
        WriteHead,
        ReadBack, ///< Reads the head to find out whether a write without answer or with a conflict took effect.
    };

    /// A write of an outcome body that is too large for the head; the resolution is committed after it.
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
    StoreVersion m_version = 0; ///< Version of the newest head that is known to be in the store.
    std::size_t m_recordBytes = 0;
    std::size_t m_unresolvedCount = 0;
    std::deque<std::pair<std::chrono::milliseconds, OrderKey>> m_resolvedByAge; ///< Resolution time and key, oldest first; may hold a key claimed again.
    TimePoint m_clockAnchor; ///< Steady time at which the ledger time was m_clockBase.
    std::chrono::milliseconds m_clockBase{0}; ///< Ledger time of the head that was loaded.

    std::deque<Operation> m_pendingOperations;
    std::size_t m_pendingClaims = 0;
    std::vector<Operation> m_operationsInFlight;
    std::string m_headValueInFlight; ///< Kept so that a repeated write is identical.

    Step m_step = Step::Idle;
    std::optional<StoreCallId> m_headCall; ///< The call for the head in flight; empty while a step waits for its retry.
    std::optional<TimePoint> m_retryAt;
    RetryDelay m_retryDelay;
    std::map<StoreCallId, BodyWrite> m_bodyWrites;
    StoreCallId m_lastCall = 0;
};

}
