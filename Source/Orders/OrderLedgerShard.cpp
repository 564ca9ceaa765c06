#include "Orders/OrderLedgerShard.h"

#include "Orders/OutcomeBounds.h"

#include <algorithm>

namespace Mangofall::Orders {

namespace {

std::size_t storedBytes(const std::string &encoded)
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
    , m_retryDelay(limits.firstRetry, limits.maxRetry)
{
}

LedgerActions OrderLedgerShard::handle(const BecomeOwner &, TimePoint now)
{
    LedgerActions actions;
    if (m_phase == Phase::Closed) {
        m_phase = Phase::Reading;
        m_step = Step::ReadHead;
        issueStep(actions);
    } else if (m_phase == Phase::Open && m_step == Step::Idle) {
        // Another owner may have come and gone unnoticed; a write without changes tells.
        ++m_head.commit;
        writeHead(now, actions);
    }
    return actions;
}

LedgerActions OrderLedgerShard::handle(const StopOwning &, TimePoint)
{
    LedgerActions actions;
    if (m_phase != Phase::Closed) {
        lose(OwnershipLossReason::Revoked, nullptr, actions);
    }
    return actions;
}

LedgerActions OrderLedgerShard::handle(const ClaimOrder &event, TimePoint now)
{
    const OrderClaim &claim = event.claim;
    if (m_phase == Phase::Closed) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::NotReady, false}};
    }
    if (claim.key.value().size() > m_limits.maxKeyBytes) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::MalformedRequest, true}};
    }
    if (m_phase == Phase::Open) {
        std::optional<OrderRecord> record = find(claim.key);
        if (!permitsClaim(record, claim)) {
            return {ClaimExists{claim.key, claim.attempt, *std::move(record), true}};
        }
    }
    if (m_pendingClaims >= m_limits.maxPending) {
        return {ClaimRefused{claim.key, claim.attempt, ErrorKind::QueueFull, isLoaded()}};
    }
    m_pending.emplace_back(event);
    ++m_pendingClaims;
    LedgerActions actions;
    startCommit(now, actions);
    return actions;
}

LedgerActions OrderLedgerShard::handle(const WithdrawClaim &event, TimePoint)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const Operation &operation) {
        const ClaimOrder *claim = std::get_if<ClaimOrder>(&operation);
        return claim != nullptr && claim->claim.attempt == event.attempt;
    });
    if (found == m_pending.end()) {
        return {ClaimDelayed{event.key, event.attempt, isLoaded()}};
    }
    const OrderClaim claim = std::get<ClaimOrder>(*found).claim;
    m_pending.erase(found);
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
    if (m_phase != Phase::Open) {
        return actions;
    }
    ResolveOrder resolve = event;
    std::string body = boundOutcome(event.key, m_limits, resolve.resolution.outcome);
    if (body.empty()) {
        m_pending.emplace_back(std::move(resolve));
        startCommit(now, actions);
        return actions;
    }
    const StoreCallId call = ++m_lastCall;
    m_bodies.emplace(call, BodyWrite{std::move(resolve), std::move(body), std::nullopt});
    issueBody(call, actions);
    return actions;
}

LedgerActions OrderLedgerShard::handle(const StoreAnswered &event, TimePoint now)
{
    LedgerActions actions;
    if (m_bodies.contains(event.call)) {
        bodyWritten(event, now, actions);
        return actions;
    }
    if (m_call != event.call) {
        return actions;
    }
    m_call.reset();
    switch (m_step) {
    case Step::Idle:
        break;
    case Step::ReadHead:
        headRead(event, now, actions);
        break;
    case Step::WriteHead:
        headWritten(event, now, actions);
        break;
    case Step::ReadBack:
        headReadBack(event, now, actions);
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
    for (const auto &[call, body] : m_bodies) {
        if (body.retryAt && now >= *body.retryAt) {
            due.push_back(call);
        }
    }
    for (const StoreCallId call : due) {
        // A new id: an answer to the first call must not count as the second's.
        auto node = m_bodies.extract(call);
        node.key() = ++m_lastCall;
        node.mapped().retryAt.reset();
        m_bodies.insert(std::move(node));
        issueBody(m_lastCall, actions);
    }
    return actions;
}

bool OrderLedgerShard::isLoaded() const
{
    return m_phase == Phase::Open;
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
    m_call = ++m_lastCall;
    if (m_step == Step::WriteHead) {
        actions.emplace_back(WriteKey{*m_call, m_storeKey, m_valueInFlight, m_version});
    } else {
        actions.emplace_back(ReadKey{*m_call, m_storeKey});
    }
}

void OrderLedgerShard::issueBody(StoreCallId call, LedgerActions &actions)
{
    const BodyWrite &body = m_bodies.at(call);
    actions.emplace_back(WriteKey{call, body.resolve.resolution.outcome.bodyKey, body.body, 0});
}

void OrderLedgerShard::retryLater(Step step, TimePoint now)
{
    m_step = step;
    m_retryAt = now + m_retryDelay.take();
}

void OrderLedgerShard::headRead(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::NotFound) {
        open({}, 0, now, actions);
        return;
    }
    if (event.status != StoreStatus::Ok) {
        retryLater(Step::ReadHead, now);
        return;
    }
    std::optional<LedgerHead> head = decodeHead(event.value);
    if (!head) {
        lose(OwnershipLossReason::Unreadable, nullptr, actions);
        return;
    }
    open(*std::move(head), event.version, now, actions);
}

void OrderLedgerShard::open(LedgerHead head, StoreVersion version, TimePoint now, LedgerActions &actions)
{
    m_version = version;
    load(std::move(head), now);
    m_phase = Phase::Opening;
    ++m_head.epoch;
    m_head.writer = m_writer;
    m_head.commit = 0;
    writeHead(now, actions);
}

void OrderLedgerShard::headWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::Ok) {
        committed(event.version, now, actions);
    } else if (event.status == StoreStatus::Conflict) {
        // The conflict may stem from this commit's own earlier write whose answer was lost.
        m_step = Step::ReadBack;
        issueStep(actions);
    } else {
        retryLater(Step::ReadBack, now);
    }
}

void OrderLedgerShard::headReadBack(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    if (event.status == StoreStatus::NoAnswer || event.status == StoreStatus::Conflict) {
        retryLater(Step::ReadBack, now);
        return;
    }
    const StoreVersion version = event.status == StoreStatus::Ok ? event.version : 0;
    if (version == m_version) {
        // The lost write may still take effect later, so the value written again must be identical.
        m_step = Step::WriteHead;
        issueStep(actions);
        return;
    }
    std::optional<LedgerHead> head = decodeHead(event.value);
    if (head && head->sameWrite(m_head)) {
        committed(version, now, actions);
    } else if (head && m_phase == Phase::Opening && head->epoch < m_head.epoch) {
        // A late write of the former owner took effect after this owner's read.
        open(*std::move(head), version, now, actions);
    } else {
        lose(head ? OwnershipLossReason::Fenced : OwnershipLossReason::Unreadable, head ? &*head : nullptr, actions);
    }
}

void OrderLedgerShard::bodyWritten(const StoreAnswered &event, TimePoint now, LedgerActions &actions)
{
    const auto found = m_bodies.find(event.call);
    if (event.status == StoreStatus::NoAnswer) {
        found->second.retryAt = now + m_limits.maxRetry;
        return;
    }
    // A conflict means that the body is there already: the key is derived from its content.
    m_pending.emplace_back(std::move(found->second.resolve));
    m_bodies.erase(found);
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
        m_recordBytes += storedBytes(encoded);
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
    m_valueInFlight = encodeHead(m_head);
    m_step = Step::WriteHead;
    issueStep(actions);
}

void OrderLedgerShard::committed(StoreVersion version, TimePoint now, LedgerActions &actions)
{
    m_version = version;
    m_step = Step::Idle;
    m_retryDelay.reset();
    m_valueInFlight.clear();
    if (m_phase == Phase::Opening) {
        m_phase = Phase::Open;
        actions.emplace_back(OwnershipConfirmed{m_head.epoch, unresolved()});
    }
    for (Operation &operation : m_inFlight) {
        if (const auto *claim = std::get_if<ClaimOrder>(&operation)) {
            actions.emplace_back(ClaimGranted{claim->claim.key, claim->claim.attempt});
        } else {
            auto &resolve = std::get<ResolveOrder>(operation);
            actions.emplace_back(OrderRecorded{resolve.key, std::move(resolve.resolution)});
        }
    }
    m_inFlight.clear();
    startCommit(now, actions);
}

void OrderLedgerShard::startCommit(TimePoint now, LedgerActions &actions)
{
    if (m_phase != Phase::Open || m_step != Step::Idle) {
        return;
    }
    forgetOldRecords(now);
    while (!m_pending.empty() && m_inFlight.size() < m_limits.maxBatch) {
        if (applyNext(now, actions)) {
            m_inFlight.push_back(std::move(m_pending.front()));
        }
        m_pending.pop_front();
    }
    if (!m_inFlight.empty()) {
        ++m_head.commit;
        writeHead(now, actions);
    }
}

bool OrderLedgerShard::applyNext(TimePoint now, LedgerActions &actions)
{
    if (const auto *claim = std::get_if<ClaimOrder>(&m_pending.front())) {
        --m_pendingClaims;
        return apply(*claim, now, actions);
    }
    return apply(std::get<ResolveOrder>(m_pending.front()), now, actions);
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
    m_recordBytes += storedBytes(encoded);
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
    m_recordBytes -= storedBytes(found->second);
    m_unresolvedCount -= record && record->resolution ? 0 : 1;
    m_head.records.erase(found);
}

void OrderLedgerShard::forgetOldRecords(TimePoint now)
{
    const std::chrono::milliseconds time = ledgerTime(now);
    while (!m_resolvedByAge.empty() && time - m_resolvedByAge.front().first > m_limits.retention) {
        const auto [resolvedAt, key] = m_resolvedByAge.front();
        m_resolvedByAge.pop_front();
        // A key that was claimed again has a younger record or an unresolved one, which must stay.
        const std::optional<OrderRecord> record = find(key);
        if (record && record->resolution && record->time == resolvedAt) {
            erase(key);
        }
    }
}

bool OrderLedgerShard::hasRoomFor(const OrderRecord &record) const
{
    // Every unresolved order keeps room for its outcome, so that an outcome can always be recorded.
    const std::size_t reserved = (m_unresolvedCount + 1) * resolutionGrowth(m_limits);
    return headBytes() + storedBytes(encodeRecord(record)) + reserved <= m_limits.maxHeadBytes;
}

std::optional<OrderRecord> OrderLedgerShard::find(const OrderKey &key) const
{
    return findIn(m_head, key);
}

std::chrono::milliseconds OrderLedgerShard::ledgerTime(TimePoint now) const
{
    return m_clockBase + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_clockAnchor);
}

void OrderLedgerShard::lose(OwnershipLossReason reason, const LedgerHead *current, LedgerActions &actions)
{
    const bool wasLoaded = isLoaded();
    const auto refuse = [&](const Operation &operation) {
        if (const auto *claim = std::get_if<ClaimOrder>(&operation)) {
            refuseLost(*claim, current, wasLoaded, actions);
        }
    };
    std::for_each(m_inFlight.begin(), m_inFlight.end(), refuse);
    std::for_each(m_pending.begin(), m_pending.end(), refuse);
    m_phase = Phase::Closed;
    m_head = {};
    m_recordBytes = 0;
    m_unresolvedCount = 0;
    m_resolvedByAge.clear();
    m_pending.clear();
    m_pendingClaims = 0;
    m_inFlight.clear();
    m_valueInFlight.clear();
    m_bodies.clear();
    m_step = Step::Idle;
    m_call.reset();
    m_retryAt.reset();
    m_retryDelay.reset();
    actions.emplace_back(OwnershipLost{reason});
}

void OrderLedgerShard::refuseLost(const ClaimOrder &claim, const LedgerHead *current, bool wasLoaded, LedgerActions &actions) const
{
    std::optional<OrderRecord> record = current == nullptr ? std::nullopt : findIn(*current, claim.claim.key);
    // A claim of this attempt that took effect has not been sent and never will be.
    const bool isOwnClaim = record && !record->resolution && record->claim.attempt == claim.claim.attempt;
    if (!isOwnClaim && !permitsClaim(record, claim.claim)) {
        actions.emplace_back(ClaimExists{claim.claim.key, claim.claim.attempt, *std::move(record), false});
        return;
    }
    actions.emplace_back(ClaimRefused{claim.claim.key, claim.claim.attempt, ErrorKind::NotReady, wasLoaded || current != nullptr});
}

}
