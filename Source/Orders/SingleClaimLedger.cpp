#include "Orders/SingleClaimLedger.h"

#include "Base/Hash.h"
#include "Orders/OutcomeBounds.h"

#include <algorithm>

namespace Mangofall::Orders {

SingleClaimLedger::SingleClaimLedger(OrderLimits limits)
    : m_limits(limits)
{
    // Each order has a store value of its own, which also holds its body.
    m_limits.maxInlineBytes = m_limits.maxBodyBytes;
}

LedgerActions SingleClaimLedger::handle(const BecomeOwner &, TimePoint)
{
    return {OwnershipConfirmed{}};
}

LedgerActions SingleClaimLedger::handle(const StopOwning &, TimePoint)
{
    m_entries.clear();
    return {OwnershipLost{OwnershipLossReason::Revoked}};
}

LedgerActions SingleClaimLedger::handle(const ClaimOrder &event, TimePoint)
{
    LedgerActions actions;
    Entry entry{OrderRecord{event.claim, 0, {}, std::nullopt}, 0, Step::Write, 0, std::nullopt, RetryDelay(m_limits.firstRetryDelay, m_limits.maxRetryDelay)};
    issueCall(m_entries.insert_or_assign(event.claim.key, std::move(entry)).first->second, actions);
    return actions;
}

LedgerActions SingleClaimLedger::handle(const WithdrawClaim &event, TimePoint)
{
    return {ClaimInFlight{event.key, event.attempt, false}};
}

LedgerActions SingleClaimLedger::handle(const ResolveOrder &event, TimePoint)
{
    LedgerActions actions;
    const auto found = m_entries.find(event.key);
    if (found == m_entries.end() || found->second.step != Step::Idle || found->second.record.claim.attempt != event.attempt) {
        return actions;
    }
    Entry &entry = found->second;
    entry.record.resolution = event.resolution;
    boundOutcome(event.key, m_limits, entry.record.resolution->outcome);
    entry.step = Step::Write;
    issueCall(entry, actions);
    return actions;
}

LedgerActions SingleClaimLedger::handle(const StoreAnswered &event, TimePoint now)
{
    LedgerActions actions;
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.call == event.call;
    });
    if (found != m_entries.end()) {
        found->second.call = 0;
        handleAnswer(found->second, event, now, actions);
    }
    return actions;
}

LedgerActions SingleClaimLedger::handle(const OrderTick &, TimePoint now)
{
    LedgerActions actions;
    for (auto &[key, entry] : m_entries) {
        if (entry.retryAt && now >= *entry.retryAt) {
            issueCall(entry, actions);
        }
    }
    return actions;
}

bool SingleClaimLedger::isLoaded() const
{
    return false;
}

std::vector<OrderRecord> SingleClaimLedger::unresolved() const
{
    std::vector<OrderRecord> records;
    for (const auto &[key, entry] : m_entries) {
        records.push_back(entry.record);
    }
    return records;
}

std::string SingleClaimLedger::storeKey(const OrderKey &key)
{
    return "mangofall/orders/single/" + key.value();
}

void SingleClaimLedger::issueCall(Entry &entry, LedgerActions &actions)
{
    entry.retryAt.reset();
    entry.call = ++m_lastCall;
    const std::string key = storeKey(entry.record.claim.key);
    if (entry.step == Step::Write) {
        actions.emplace_back(WriteKey{entry.call, key, encodeRecord(entry.record), entry.version});
    } else {
        actions.emplace_back(ReadKey{entry.call, key});
    }
}

void SingleClaimLedger::handleAnswer(Entry &entry, const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::NoAnswer) {
        entry.step = Step::ReadBack;
        entry.retryAt = now + entry.retryDelay.take();
        return;
    }
    entry.retryDelay.reset();
    if (entry.step == Step::ReadBack) {
        handleReadBack(entry, event, actions);
    } else if (event.status == StoreStatus::Ok) {
        handleWritten(entry, event.version, actions);
    } else {
        entry.step = Step::ReadBack;
        issueCall(entry, actions);
    }
}

void SingleClaimLedger::handleWritten(Entry &entry, StoreVersion version, LedgerActions &actions)
{
    entry.version = version;
    entry.step = Step::Idle;
    const OrderKey key = entry.record.claim.key;
    if (entry.record.resolution) {
        actions.emplace_back(OrderRecorded{key, *entry.record.resolution});
        m_entries.erase(key);
    } else {
        actions.emplace_back(ClaimGranted{key, entry.record.claim.attempt});
    }
}

void SingleClaimLedger::handleReadBack(Entry &entry, const StoreAnswered &event, LedgerActions &actions)
{
    const StoreVersion version = event.status == StoreStatus::Ok ? event.version : 0;
    if (version == entry.version) {
        entry.step = Step::Write;
        issueCall(entry, actions);
        return;
    }
    std::optional<OrderRecord> stored = decodeRecord(event.value);
    const OrderKey key = entry.record.claim.key;
    const AttemptId attempt = entry.record.claim.attempt;
    if (!stored) {
        actions.emplace_back(ClaimRefused{key, attempt, ErrorKind::Internal, false});
        m_entries.erase(key);
    } else if (entry.record.resolution && stored->resolution) {
        actions.emplace_back(OrderRecorded{key, *stored->resolution});
        m_entries.erase(key);
    } else if (!entry.record.resolution && !stored->resolution && stored->claim.attempt == attempt) {
        handleWritten(entry, version, actions);
    } else if (stored->resolution && stored->resolution->permitsNewClaim() && stored->claim.bodyHash == entry.record.claim.bodyHash) {
        entry.version = version;
        entry.step = Step::Write;
        issueCall(entry, actions);
    } else {
        actions.emplace_back(ClaimExists{key, attempt, *stored, true});
        entry.record = *std::move(stored);
        entry.version = version;
        entry.step = Step::Idle;
        if (entry.record.resolution) {
            m_entries.erase(key);
        }
    }
}

}
