#include "Orders/OrderLedgerShard.h"

#include "Orders/OutcomeBounds.h"

#include <algorithm>

namespace Mangofall::Orders {

namespace {

std::size_t bytesInHead(const std::string &encoded)
{
    return encoded.size() + recordOverheadBytes;
}

std::optional<OrderRecord> findIn(const LedgerHead &head, const OrderKey &key)
{
    const auto found = head.records.find(key);
    return found == head.records.end() ? std::nullopt : decodeRecord(found->second);
}

bool permitsClaim(const std::optional<OrderRecord> &record, const OrderClaim &claim)
{
    return !record || (record->resolution && record->resolution->permitsNewClaim() && record->claim.bodyHash == claim.bodyHash);
}

}

OrderLedgerShard::OrderLedgerShard(std::string storeKey, std::string writer, OrderLimits limits)
    : m_storeKey(std::move(storeKey))
    , m_writer(std::move(writer))
    , m_limits(limits)
    , m_retryDelay(limits.firstRetryDelay, limits.maxRetryDelay)
{
}

LedgerActions OrderLedgerShard::handle(const BecomeOwner &, TimePoint now)
{
    LedgerActions actions;
    if (m_phase == Phase::Inactive) {
        m_phase = Phase::ReadingHead;
        m_step = Step::ReadHead;
        issueStep(actions);
    } else if (m_phase == Phase::Active && m_step == Step::Idle) {
        // Another process may have owned the shard in the meantime; in that case a write without changes conflicts.
        ++m_head.commit;
        writeHead(now, actions);
    }
    return actions;
}

LedgerActions OrderLedgerShard::handle(const StopOwning &, TimePoint)
{
    LedgerActions actions;
    if (m_phase != Phase::Inactive) {
        loseOwnership(OwnershipLossReason::Revoked, nullptr, actions);
    }
    return actions;
}

LedgerActions OrderLedgerShard::handle(const ClaimOrder &event, TimePoint now)
{
    const OrderClaim &claim = event.claim;
    if (m_phase == Phase::Inactive) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::NotReady, false}};
    }
    if (claim.key.value().size() > m_limits.maxKeyBytes) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::MalformedRequest, true}};
    }
    if (m_phase == Phase::Active) {
        std::optional<OrderRecord> record = find(claim.key);
        if (!permitsClaim(record, claim)) {
            return {ClaimExists{claim.key, claim.attempt, *std::move(record), true}};
        }
    }
    if (m_pendingClaims >= m_limits.maxPendingClaims) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::QueueFull, isLoaded()}};
    }
    m_pendingOperations.emplace_back(event);
    ++m_pendingClaims;
    LedgerActions actions;
    startCommit(now, actions);
    return actions;
}

LedgerActions OrderLedgerShard::handle(const WithdrawClaim &event, TimePoint)
{
    const auto found = std::find_if(m_pendingOperations.begin(), m_pendingOperations.end(), [&](const Operation &operation) {
        const ClaimOrder *claim = std::get_if<ClaimOrder>(&operation);
        return claim != nullptr && claim->claim.attempt == event.attempt;
    });
    if (found == m_pendingOperations.end()) {
        return {ClaimInFlight{event.key, event.attempt, isLoaded()}};
    }
    const OrderClaim claim = std::get<ClaimOrder>(*found).claim;
    m_pendingOperations.erase(found);
    --m_pendingClaims;
    std::optional<OrderRecord> record = isLoaded() ? find(claim.key) : std::nullopt;
    if (!permitsClaim(record, claim)) {
        return {ClaimExists{claim.key, claim.attempt, *std::move(record), true}};
    }
    return {ClaimRefused{claim.key, claim.attempt, ErrorKind::StoreUnavailable, isLoaded()}};
}

LedgerActions OrderLedgerShard::handle(const ResolveOrder &event, TimePoint now)
{
    LedgerActions actions;
    if (m_phase != Phase::Active) {
        return actions;
    }
    ResolveOrder resolve = event;
    std::string body = boundOutcome(event.key, m_limits, resolve.resolution.outcome);
    if (body.empty()) {
        m_pendingOperations.emplace_back(std::move(resolve));
        startCommit(now, actions);
        return actions;
    }
    const StoreCallId call = ++m_lastCall;
    m_bodyWrites.emplace(call, BodyWrite{std::move(resolve), std::move(body), std::nullopt});
    issueBodyWrite(call, actions);
    return actions;
}

LedgerActions OrderLedgerShard::handle(const StoreAnswered &event, TimePoint now)
{
    LedgerActions actions;
    if (m_bodyWrites.contains(event.call)) {
        handleBodyWritten(event, now, actions);
        return actions;
    }
    if (m_headCall != event.call) {
        return actions;
    }
    m_headCall.reset();
    switch (m_step) {
    case Step::Idle:
        break;
    case Step::ReadHead:
        handleHeadRead(event, now, actions);
        break;
    case Step::WriteHead:
        handleHeadWritten(event, now, actions);
        break;
    case Step::ReadBack:
        handleHeadReadBack(event, now, actions);
        break;
    }
    return actions;
}

LedgerActions OrderLedgerShard::handle(const OrderTick &, TimePoint now)
{
    LedgerActions actions;
    if (m_retryAt && now >= *m_retryAt) {
        issueStep(actions);
    }
    std::vector<StoreCallId> due;
    for (const auto &[call, body] : m_bodyWrites) {
        if (body.retryAt && now >= *body.retryAt) {
            due.push_back(call);
        }
    }
    for (const StoreCallId call : due) {
        // The retry gets a new id, so that a late answer to the first call is not taken for an answer to the second.
        auto node = m_bodyWrites.extract(call);
        node.key() = ++m_lastCall;
        node.mapped().retryAt.reset();
        m_bodyWrites.insert(std::move(node));
        issueBodyWrite(m_lastCall, actions);
    }
    return actions;
}

bool OrderLedgerShard::isLoaded() const
{
    return m_phase == Phase::Active;
}

std::vector<OrderRecord> OrderLedgerShard::unresolved() const
{
    std::vector<OrderRecord> records;
    for (const auto &[key, encoded] : m_head.records) {
        std::optional<OrderRecord> record = decodeRecord(encoded);
        if (record && !record->resolution) {
            records.push_back(*std::move(record));
        }
    }
    return records;
}

std::size_t OrderLedgerShard::headBytes() const
{
    return headOverheadBytes + m_recordBytes;
}

void OrderLedgerShard::issueStep(LedgerActions &actions)
{
    m_retryAt.reset();
    m_headCall = ++m_lastCall;
    if (m_step == Step::WriteHead) {
        actions.emplace_back(WriteKey{*m_headCall, m_storeKey, m_headValueInFlight, m_version});
    } else {
        actions.emplace_back(ReadKey{*m_headCall, m_storeKey});
    }
}

void OrderLedgerShard::issueBodyWrite(StoreCallId call, LedgerActions &actions)
{
    const BodyWrite &body = m_bodyWrites.at(call);
    actions.emplace_back(WriteKey{call, body.resolve.resolution.outcome.bodyKey, body.body, 0});
}

void OrderLedgerShard::scheduleRetry(Step step, TimePoint now)
{
    m_step = step;
    m_retryAt = now + m_retryDelay.take();
}

void OrderLedgerShard::handleHeadRead(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::NotFound) {
        takeOwnership({}, 0, now, actions);
        return;
    }
    if (event.status != StoreStatus::Ok) {
        scheduleRetry(Step::ReadHead, now);
        return;
    }
    std::optional<LedgerHead> head = decodeHead(event.value);
    if (!head) {
        loseOwnership(OwnershipLossReason::Unreadable, nullptr, actions);
        return;
    }
    takeOwnership(*std::move(head), event.version, now, actions);
}

void OrderLedgerShard::takeOwnership(LedgerHead head, StoreVersion version, TimePoint now, LedgerActions &actions)
{
    m_version = version;
    load(std::move(head), now);
    m_phase = Phase::WritingEpoch;
    ++m_head.epoch;
    m_head.writer = m_writer;
    m_head.commit = 0;
    writeHead(now, actions);
}

void OrderLedgerShard::handleHeadWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::Ok) {
        handleCommitted(event.version, now, actions);
    } else if (event.status == StoreStatus::Conflict) {
        // An earlier write of this commit may have taken effect without its answer arriving, which also gives a conflict.
        m_step = Step::ReadBack;
        issueStep(actions);
    } else {
        scheduleRetry(Step::ReadBack, now);
    }
}

void OrderLedgerShard::handleHeadReadBack(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::NoAnswer || event.status == StoreStatus::Conflict) {
        scheduleRetry(Step::ReadBack, now);
        return;
    }
    const StoreVersion version = event.status == StoreStatus::Ok ? event.version : 0;
    if (version == m_version) {
        // The write without answer may still take effect later, so the repeated write must have the identical value.
        m_step = Step::WriteHead;
        issueStep(actions);
        return;
    }
    std::optional<LedgerHead> head = decodeHead(event.value);
    if (head && head->sameWrite(m_head)) {
        handleCommitted(version, now, actions);
    } else if (head && m_phase == Phase::WritingEpoch && head->epoch < m_head.epoch) {
        // A write of the former owner took effect after this process read the head.
        takeOwnership(*std::move(head), version, now, actions);
    } else {
        loseOwnership(head ? OwnershipLossReason::Fenced : OwnershipLossReason::Unreadable, head ? &*head : nullptr, actions);
    }
}

void OrderLedgerShard::handleBodyWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    const auto found = m_bodyWrites.find(event.call);
    if (event.status == StoreStatus::NoAnswer) {
        found->second.retryAt = now + m_limits.maxRetryDelay;
        return;
    }
    // A conflict means that the body has already been written, because the key is derived from its content.
    m_pendingOperations.emplace_back(std::move(found->second.resolve));
    m_bodyWrites.erase(found);
    startCommit(now, actions);
}

void OrderLedgerShard::load(LedgerHead head, TimePoint now)
{
    m_head = std::move(head);
    m_clockBase = m_head.clock;
    m_clockAnchor = now;
    m_recordBytes = 0;
    m_unresolvedCount = 0;
    m_resolvedByAge.clear();
    for (const auto &[key, encoded] : m_head.records) {
        m_recordBytes += bytesInHead(encoded);
        const std::optional<OrderRecord> record = decodeRecord(encoded);
        if (record && record->resolution) {
            m_resolvedByAge.emplace_back(record->time, key);
        } else {
            ++m_unresolvedCount;
        }
    }
    std::sort(m_resolvedByAge.begin(), m_resolvedByAge.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
}

void OrderLedgerShard::writeHead(TimePoint now, LedgerActions &actions)
{
    m_head.clock = ledgerTime(now);
    m_headValueInFlight = encodeHead(m_head);
    m_step = Step::WriteHead;
    issueStep(actions);
}

void OrderLedgerShard::handleCommitted(StoreVersion version, TimePoint now, LedgerActions &actions)
{
    m_version = version;
    m_step = Step::Idle;
    m_retryDelay.reset();
    m_headValueInFlight.clear();
    if (m_phase == Phase::WritingEpoch) {
        m_phase = Phase::Active;
        actions.emplace_back(OwnershipConfirmed{m_head.epoch, unresolved()});
    }
    for (Operation &operation : m_operationsInFlight) {
        if (const auto *claim = std::get_if<ClaimOrder>(&operation)) {
            actions.emplace_back(ClaimGranted{claim->claim.key, claim->claim.attempt});
        } else {
            auto &resolve = std::get<ResolveOrder>(operation);
            actions.emplace_back(OrderRecorded{resolve.key, std::move(resolve.resolution)});
        }
    }
    m_operationsInFlight.clear();
    startCommit(now, actions);
}

void OrderLedgerShard::startCommit(TimePoint now, LedgerActions &actions)
{
    if (m_phase != Phase::Active || m_step != Step::Idle) {
        return;
    }
    forgetOldRecords(now);
    while (!m_pendingOperations.empty() && m_operationsInFlight.size() < m_limits.maxBatch) {
        if (applyNext(now, actions)) {
            m_operationsInFlight.push_back(std::move(m_pendingOperations.front()));
        }
        m_pendingOperations.pop_front();
    }
    if (!m_operationsInFlight.empty()) {
        ++m_head.commit;
        writeHead(now, actions);
    }
}

bool OrderLedgerShard::applyNext(TimePoint now, LedgerActions &actions)
{
    if (const auto *claim = std::get_if<ClaimOrder>(&m_pendingOperations.front())) {
        --m_pendingClaims;
        return apply(*claim, now, actions);
    }
    return apply(std::get<ResolveOrder>(m_pendingOperations.front()), now, actions);
}

bool OrderLedgerShard::apply(const ClaimOrder &operation, TimePoint now, LedgerActions &actions)
{
    const OrderClaim &claim = operation.claim;
    std::optional<OrderRecord> existing = find(claim.key);
    if (!permitsClaim(existing, claim)) {
        actions.emplace_back(ClaimExists{claim.key, claim.attempt, *std::move(existing), true});
        return false;
    }
    const OrderRecord record{claim, m_head.epoch, ledgerTime(now), std::nullopt};
    if (!hasRoomFor(record)) {
        actions.emplace_back(ClaimRefused{claim.key, claim.attempt, ErrorKind::QueueFull, true});
        return false;
    }
    store(record);
    return true;
}

bool OrderLedgerShard::apply(const ResolveOrder &operation, TimePoint now, LedgerActions &actions)
{
    std::optional<OrderRecord> record = find(operation.key);
    if (!record) {
        return false;
    }
    if (record->resolution) {
        actions.emplace_back(OrderRecorded{operation.key, *record->resolution});
        return false;
    }
    if (record->claim.attempt != operation.attempt) {
        return false;
    }
    record->time = ledgerTime(now);
    record->resolution = operation.resolution;
    store(*record);
    m_resolvedByAge.emplace_back(record->time, operation.key);
    return true;
}

void OrderLedgerShard::store(const OrderRecord &record)
{
    erase(record.claim.key);
    std::string encoded = encodeRecord(record);
    m_recordBytes += bytesInHead(encoded);
    m_unresolvedCount += record.resolution ? 0 : 1;
    m_head.records.emplace(record.claim.key, std::move(encoded));
}

void OrderLedgerShard::erase(const OrderKey &key)
{
    const auto found = m_head.records.find(key);
    if (found == m_head.records.end()) {
        return;
    }
    const std::optional<OrderRecord> record = decodeRecord(found->second);
    m_recordBytes -= bytesInHead(found->second);
    m_unresolvedCount -= record && record->resolution ? 0 : 1;
    m_head.records.erase(found);
}

void OrderLedgerShard::forgetOldRecords(TimePoint now)
{
    const std::chrono::milliseconds time = ledgerTime(now);
    while (!m_resolvedByAge.empty() && time - m_resolvedByAge.front().first > m_limits.retention) {
        const auto [resolvedAt, key] = m_resolvedByAge.front();
        m_resolvedByAge.pop_front();
        // A key that was claimed again has a newer or an unresolved record, which must be kept.
        const std::optional<OrderRecord> record = find(key);
        if (record && record->resolution && record->time == resolvedAt) {
            erase(key);
        }
    }
}

bool OrderLedgerShard::hasRoomFor(const OrderRecord &record) const
{
    // Space for the outcome of each unresolved order stays reserved, so that every outcome can be recorded.
    const std::size_t reserved = (m_unresolvedCount + 1) * maxResolutionGrowth(m_limits);
    return headBytes() + bytesInHead(encodeRecord(record)) + reserved <= m_limits.maxHeadBytes;
}

std::optional<OrderRecord> OrderLedgerShard::find(const OrderKey &key) const
{
    return findIn(m_head, key);
}

std::chrono::milliseconds OrderLedgerShard::ledgerTime(TimePoint now) const
{
    return m_clockBase + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_clockAnchor);
}

void OrderLedgerShard::loseOwnership(OwnershipLossReason reason, const LedgerHead *current, LedgerActions &actions)
{
    const bool wasLoaded = isLoaded();
    const auto refuse = [&](const Operation &operation) {
        if (const auto *claim = std::get_if<ClaimOrder>(&operation)) {
            refuseClaimAfterLoss(*claim, current, wasLoaded, actions);
        }
    };
    std::for_each(m_operationsInFlight.begin(), m_operationsInFlight.end(), refuse);
    std::for_each(m_pendingOperations.begin(), m_pendingOperations.end(), refuse);
    m_phase = Phase::Inactive;
    m_head = {};
    m_recordBytes = 0;
    m_unresolvedCount = 0;
    m_resolvedByAge.clear();
    m_pendingOperations.clear();
    m_pendingClaims = 0;
    m_operationsInFlight.clear();
    m_headValueInFlight.clear();
    m_bodyWrites.clear();
    m_step = Step::Idle;
    m_headCall.reset();
    m_retryAt.reset();
    m_retryDelay.reset();
    actions.emplace_back(OwnershipLost{reason});
}

void OrderLedgerShard::refuseClaimAfterLoss(const ClaimOrder &claim, const LedgerHead *current, bool wasLoaded, LedgerActions &actions) const
{
    std::optional<OrderRecord> record = current == nullptr ? std::nullopt : findIn(*current, claim.claim.key);
    // Even if the claim of this attempt took effect, the order has not been sent and never will be.
    const bool isOwnClaim = record && !record->resolution && record->claim.attempt == claim.claim.attempt;
    if (!isOwnClaim && !permitsClaim(record, claim.claim)) {
        actions.emplace_back(ClaimExists{claim.claim.key, claim.claim.attempt, *std::move(record), false});
        return;
    }
    actions.emplace_back(ClaimRefused{claim.claim.key, claim.claim.attempt, ErrorKind::NotReady, wasLoaded || current != nullptr});
}

}
